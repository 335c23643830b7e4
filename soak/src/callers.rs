//! Callers that send without a pause, each on connections that it keeps until they end.

use {
    crate::{
        ledger::{Call, Kind},
        run::Soak,
    },
    mulberryshelf_standin::{Caller, Reply},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// The time that a caller gives a request; its routes give less.
const DEADLINE: Duration = Duration::from_millis(2500);
/// How long a caller waits for an answer at most; longer than any that is in time.
const PATIENCE: Duration = Duration::from_secs(6);
/// The longest pause between two requests of a caller.
const PAUSE_MS: u64 = 60;
/// How long a caller waits before it connects to another node, after one did not listen.
const REFUSED_PAUSE: Duration = Duration::from_millis(50);
/// One of so many requests is left by its caller.
const LEFT_ONE_OF: u32 = 25;
/// One of so many requests goes to another node than the one before.
const MOVED_ONE_OF: u32 = 12;

/// One of so many times a request is sent before the one before it was answered.
const PIPELINED_ONE_OF: u32 = 8;
/// The longest body.
const BODY: usize = 32 * 1024;

/// Sends until the run ends.
pub async fn call(soak: Rc<Soak>, name: usize, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut place = 0;
    let mut kept: Option<(Caller, u32)> = None;
    for number in 0_u64.. {
        if soak.ended() {
            return;
        }
        if kept.is_none() || random.random_ratio(1, MOVED_ONE_OF) {
            place = random.random_range(0..soak.fleet.machines.len());
            kept = connect(&soak, place).await;
        }
        let Some((mut caller, lifetime)) = kept.take() else {
            tokio::time::sleep(REFUSED_PAUSE).await;
            continue;
        };
        let mut sent = Vec::new();
        for part in 0..=u32::from(random.random_ratio(1, PIPELINED_ONE_OF)) {
            let call = Call {
                body: body(&mut random),
                deadline: DEADLINE,
                ended: Instant::now(),
                id: format!("c{name}-{number}-{part}"),
                kind: kind(&mut random, soak.configuration()),
                lifetime,
                machine: place,
                reply: None,
                sent: Instant::now(),
            };
            caller.send(&request(&call.id, call.kind, &call.body)).await;
            sent.push(call);
        }
        let patience = if random.random_ratio(1, LEFT_ONE_OF) {
            Duration::from_millis(random.random_range(0..40))
        } else {
            PATIENCE
        };
        let open = receive(&soak, &mut caller, sent, patience).await;
        kept = open.then_some((caller, lifetime));
        tokio::time::sleep(Duration::from_millis(random.random_range(0..PAUSE_MS))).await;
    }
}

/// Awaits the answers in their order, and tells whether the connection is still of use.
async fn receive(soak: &Soak, caller: &mut Caller, sent: Vec<Call>, patience: Duration) -> bool {
    let mut open = true;
    // A request is read once the one before it was answered.
    let mut begun = None;
    for mut call in sent {
        call.sent = begun.unwrap_or_else(Instant::now);
        let left = patience < PATIENCE;
        let closed = Reply {
            close: true,
            ..Reply::default()
        };
        call.reply = match tokio::time::timeout(patience, caller.receive()).await {
            Ok(reply) => Some(reply),
            Err(_) if left => None,
            Err(_) => Some(closed),
        };
        call.ended = Instant::now();
        begun = Some(call.ended);
        open &= call.reply.as_ref().is_some_and(|reply| !reply.close);
        let gave_up = call.reply.is_none();
        soak.ledger.borrow_mut().calls.push(call);
        if gave_up {
            return false;
        }
    }
    open
}

fn body(random: &mut StdRng) -> String {
    if random.random() {
        return String::new();
    }
    "b".repeat(random.random_range(1..BODY))
}

async fn connect(soak: &Soak, place: usize) -> Option<(Caller, u32)> {
    let machine = &soak.fleet.machines[place];
    let lifetime = machine.lifetime.get();
    let caller = Caller::open(machine.callers).await.ok()?;
    // A node that was started in the meantime may be the one that is connected.
    (lifetime == machine.lifetime.get()).then_some((caller, lifetime))
}

fn kind(random: &mut StdRng, configuration: u32) -> Kind {
    match random.random_range(0..10) {
        0 => {
            Kind::Probe(random.random_range(configuration.saturating_sub(2).max(1)..=configuration))
        }
        1..=3 => Kind::Once,
        _ => Kind::Safe,
    }
}

/// Writes a request of this kind.
#[must_use]
pub fn request(id: &str, kind: Kind, body: &str) -> String {
    let first = match kind {
        Kind::Once => "POST /reserve/7".into(),
        Kind::Probe(number) => format!("GET /{}/7", route(number)),
        Kind::Safe => "GET /status/7".to_string(),
    };
    let head = mulberryshelf_standin::request(&first, id, DEADLINE);
    format!("{head}\n{body}")
}

/// Names the route that only configurations of this number and later have.
#[must_use]
pub fn route(number: u32) -> String {
    format!("g{number}")
}
