//! Callers that send requests with short pauses. Each keeps one connection to a random node, and replaces it when it
//! ends and at random.

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

/// Deadline that a caller states with each request; the timeouts of the routes are shorter.
const REQUEST_DEADLINE: Duration = Duration::from_millis(2500);
/// Longest time that a caller waits for a response; a response that arrives in time takes less.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(6);
/// Upper bound of the pause between two requests of a caller.
const PAUSE_MS_MAX: u64 = 60;
/// Time that a caller waits before it connects to another node, after a connection has failed.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// One in this many requests is abandoned by its caller after less than 40 ms.
const ABANDONED_ONE_IN: u32 = 25;
/// One in this many requests is sent on a new connection to a random node.
const RECONNECT_ONE_IN: u32 = 12;

/// One in this many requests is followed by a second one before its response has arrived.
const PIPELINED_ONE_IN: u32 = 8;
/// Upper bound of the length of a body, in bytes.
const BODY_BYTES_MAX: usize = 32 * 1024;

/// Sends requests until the run ends, and records them in the ledger. `name` is the number of the caller.
pub async fn call(soak: Rc<Soak>, name: usize, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut index = 0;
    let mut connection: Option<(Caller, u32)> = None;
    for number in 0_u64.. {
        if soak.ended() {
            return;
        }
        if connection.is_none() || random.random_ratio(1, RECONNECT_ONE_IN) {
            index = random.random_range(0..soak.fleet.machines.len());
            connection = connect(&soak, index).await;
        }
        let Some((mut caller, lifetime)) = connection.take() else {
            tokio::time::sleep(RECONNECT_DELAY).await;
            continue;
        };
        let mut sent = Vec::new();
        for part in 0..=u32::from(random.random_ratio(1, PIPELINED_ONE_IN)) {
            let call = Call {
                body: random_body(&mut random),
                deadline: REQUEST_DEADLINE,
                ended: Instant::now(),
                id: format!("c{name}-{number}-{part}"),
                kind: random_kind(&mut random, soak.configuration()),
                lifetime,
                machine: index,
                reply: None,
                sent: Instant::now(),
            };
            caller.send(&request(&call.id, call.kind, &call.body)).await;
            sent.push(call);
        }
        let timeout = if random.random_ratio(1, ABANDONED_ONE_IN) {
            Duration::from_millis(random.random_range(0..40))
        } else {
            RESPONSE_TIMEOUT
        };
        let open = receive(&soak, &mut caller, sent, timeout).await;
        connection = open.then_some((caller, lifetime));
        tokio::time::sleep(Duration::from_millis(random.random_range(0..PAUSE_MS_MAX))).await;
    }
}

/// Waits for the responses in the order of their requests. Returns whether the connection can be used again.
async fn receive(soak: &Soak, caller: &mut Caller, sent: Vec<Call>, timeout: Duration) -> bool {
    let mut open = true;
    // A node reads a pipelined request only once it has responded to the previous one.
    let mut previous_ended = None;
    for mut call in sent {
        call.sent = previous_ended.unwrap_or_else(Instant::now);
        let abandons = timeout < RESPONSE_TIMEOUT;
        let closed = Reply {
            close: true,
            ..Reply::default()
        };
        call.reply = match tokio::time::timeout(timeout, caller.receive()).await {
            Ok(reply) => Some(reply),
            Err(_) if abandons => None,
            Err(_) => Some(closed),
        };
        call.ended = Instant::now();
        previous_ended = Some(call.ended);
        open &= call.reply.as_ref().is_some_and(|reply| !reply.close);
        let abandoned = call.reply.is_none();
        soak.ledger.borrow_mut().calls.push(call);
        if abandoned {
            return false;
        }
    }
    open
}

fn random_body(random: &mut StdRng) -> String {
    if random.random() {
        return String::new();
    }
    "b".repeat(random.random_range(1..BODY_BYTES_MAX))
}

async fn connect(soak: &Soak, index: usize) -> Option<(Caller, u32)> {
    let machine = &soak.fleet.machines[index];
    let lifetime = machine.lifetime.get();
    let caller = Caller::open(machine.callers).await.ok()?;
    // If the node was restarted in the meantime, it is unknown which process the connection leads to.
    (lifetime == machine.lifetime.get()).then_some((caller, lifetime))
}

fn random_kind(random: &mut StdRng, configuration: u32) -> Kind {
    match random.random_range(0..10) {
        0 => {
            Kind::Probe(random.random_range(configuration.saturating_sub(2).max(1)..=configuration))
        }
        1..=3 => Kind::Once,
        _ => Kind::Safe,
    }
}

/// Returns a request of this kind, in the form that [`Caller::send`] takes.
#[must_use]
pub fn request(id: &str, kind: Kind, body: &str) -> String {
    let request_line = match kind {
        Kind::Once => "POST /reserve/7".into(),
        Kind::Probe(number) => format!("GET /{}/7", route(number)),
        Kind::Safe => "GET /status/7".to_string(),
    };
    let head = mulberryshelf_standin::request(&request_line, id, REQUEST_DEADLINE);
    format!("{head}\n{body}")
}

/// Returns the name of the route that was added by the configuration with this number; later ones keep it.
#[must_use]
pub fn route(number: u32) -> String {
    format!("g{number}")
}
