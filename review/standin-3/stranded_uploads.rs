//! A machine loses power again and again, for a few seconds each time, while its clients' uploads are on their way to an
//! endpoint in the other region. The node beside that endpoint must go on taking uploads.

mod common;

use {
    common::*,
    std::{
        path::Path,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// Length of an upload; `max_body_bytes` is 64 MiB.
const UPLOAD_BYTES: usize = 8 * 1024 * 1024;
/// Link between the regions.
const BITS_PER_SECOND: f64 = 30e6;
const DELAY: Duration = Duration::from_millis(12);
/// Time budget of an upload.
const UPLOAD_DEADLINE: Duration = Duration::from_secs(8);
/// Clients that upload. Three uploads at a time take 6.7 s on the link.
const UPLOADERS: usize = 3;
/// How often the machine loses power, for how long, and how long it runs in between.
const CUTS: usize = 6;
const DARK: Duration = Duration::from_millis(3000);
const LIGHT: Duration = Duration::from_millis(7000);
/// Time for which clients go on after the last one.
const GOES_ON: Duration = Duration::from_secs(36);

fn main() {
    let code = run();
    std::process::exit(code);
}

fn run() -> i32 {
    let Some(path) = std::env::args().nth(1) else {
        eprintln!("usage: stranded_uploads RECORD");
        return 2;
    };
    let record = Record::new();
    let folder = Folder::new();
    let store = Store::start();
    let routes = [
        Route("upload", "unsafe", "desk", 8.0),
        Route("status", "safe", "desk", 1.5),
        Route("board", "safe", "hub", 1.5),
    ];
    store.put("op", "config", &configuration(1, &routes));
    let (there, back) = (
        Direction::new(BITS_PER_SECOND, DELAY),
        Direction::new(BITS_PER_SECOND, DELAY),
    );
    let start = |number: u8, service: &str, region: &str, directions: (&Direction, &Direction)| {
        let ip = machine_ip(number);
        let endpoint = Endpoint::start(&record, ip, service, &format!("i-{number}"), "v1");
        let advertised = (ip, 8148).into();
        let proxy = Proxy::start(
            advertised,
            (ip, 8146).into(),
            directions.0.clone(),
            directions.1.clone(),
        );
        let (name, zone) = (format!("sidecar-{region}-{number}"), format!("{region}-a"));
        let machine = Machine::start(
            &folder.0,
            &store,
            &name,
            &zone,
            region,
            endpoint,
            Some(advertised),
        );
        machine.endpoint.keep_reporting(machine.control);
        (machine, proxy)
    };
    // Uploads go from the first machine to the endpoint beside the second one.
    let (mut sender, sender_proxy) = start(1, "hub", "ra", (&back, &there));
    let (receiver, receiver_proxy) = start(2, "desk", "rb", (&there, &back));
    if !wait_until(Duration::from_secs(10), || {
        sender.is_ready() && receiver.is_ready()
    }) {
        eprintln!("the nodes did not become ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(3));
    let (ended, dark) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicBool::new(false)),
    );
    let client = |name: String,
                  node,
                  method: &'static str,
                  target: &'static str,
                  bytes: usize,
                  deadline,
                  pause: Duration| {
        let (record, ended, dark) = (record.clone(), ended.clone(), dark.clone());
        let on_sender = node == sender.callers;
        thread::spawn(move || {
            let body = vec![b'x'; bytes];
            let mut replies = Vec::new();
            while !ended.load(Ordering::SeqCst) {
                // The clients of a machine without power are without power as well.
                if on_sender && dark.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(50));
                    continue;
                }
                let id = format!("{name}-{}", replies.len());
                let reply = send(&record, node, method, target, &id, &body, deadline);
                let wait = reply.as_ref().map_or(0.2, |reply| reply.retry_after);
                // What was cut off by the loss of power isn't counted.
                if let Some(reply) = reply.filter(|reply| reply.status != 0 || !on_sender) {
                    replies.push(reply);
                }
                thread::sleep(pause + Duration::from_secs_f64(wait));
            }
            (target, replies)
        })
    };
    let short = Duration::from_millis(1500);
    let pause = Duration::from_millis(150);
    let mut clients = Vec::new();
    for number in 0..UPLOADERS {
        clients.push(client(
            format!("u{number}"),
            sender.callers,
            "POST",
            "/upload/x",
            UPLOAD_BYTES,
            UPLOAD_DEADLINE,
            pause,
        ));
    }
    for number in 0..2 {
        clients.push(client(
            format!("s{number}"),
            receiver.callers,
            "GET",
            "/status/x",
            0,
            short,
            pause,
        ));
        clients.push(client(
            format!("b{number}"),
            sender.callers,
            "GET",
            "/board/x",
            0,
            short,
            pause,
        ));
    }
    for _ in 0..CUTS {
        thread::sleep(LIGHT);
        if !trouble() {
            thread::sleep(DARK);
            continue;
        }
        record.note("power    the first machine loses power".into());
        dark.store(true, Ordering::SeqCst);
        for proxy in [&sender_proxy, &receiver_proxy] {
            proxy.silence();
        }
        sender_proxy.set_dark(true);
        sender.kill();
        thread::sleep(DARK);
        sender_proxy.set_dark(false);
        sender.restart();
        let is_back = wait_until(Duration::from_secs(5), || sender.is_ready());
        dark.store(false, Ordering::SeqCst);
        record.note(format!(
            "power    the first machine is back; ready: {is_back}"
        ));
    }
    thread::sleep(Duration::from_secs(10));
    let settled = record.now();
    thread::sleep(GOES_ON - Duration::from_secs(10));
    ended.store(true, Ordering::SeqCst);

    let (mut asked, mut served) = (0, 0);
    let (mut uploads, mut uploads_served) = (0, 0);
    let (mut later, mut later_served) = (0, 0);
    for (target, replies) in clients.into_iter().flat_map(|client| client.join()) {
        for reply in replies {
            let is_served = usize::from(reply.status == 200);
            (asked, served) = (asked + 1, served + is_served);
            if target == "/upload/x" {
                (uploads, uploads_served) = (uploads + 1, uploads_served + is_served);
                if reply.sent > settled {
                    (later, later_served) = (later + 1, later_served + is_served);
                }
            }
        }
    }
    let share = |served: usize, asked: usize| served as f64 / asked.max(1) as f64;
    let result = format!(
        "uploads served {uploads_served}/{uploads} (later than 10 s after the last loss of power {later_served}/{later}), all {served}/{asked}"
    );
    record.note(format!("result   {result}"));
    record.write(Path::new(&path));
    println!("{result}");
    if asked == 0 || uploads == 0 {
        return 2;
    }
    i32::from(share(uploads_served, uploads) < share(served, asked) / 4.0)
}
