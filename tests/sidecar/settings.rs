use mulberryshelf::sidecar::settings::Settings;

fn settings_json(edit: impl Fn(&mut serde_json::Value)) -> String {
    let mut value = serde_json::json!({
        "host": "a1", "domain": "luzon-a", "region": "luzon", "service": "desk",
        "callers": "127.0.0.1:1", "link": "127.0.0.1:2", "control": "127.0.0.1:3",
        "ready": "127.0.0.1:4", "metrics": "127.0.0.1:5", "upstream": "127.0.0.1:6",
        "store": "127.0.0.1:7", "heartbeat_s": 1.5, "grace_s": 6,
        "renewal_ports": { "first": 7380, "last": 7395 },
        "retries": { "ratio": 0.2, "extra": 60, "window_s": 10 },
    });
    edit(&mut value);
    value.to_string()
}

#[test]
fn settings_are_read() {
    let settings = Settings::parse(&settings_json(|_| {})).unwrap();
    insta::assert_debug_snapshot!(settings);
}

#[test]
fn every_fault_is_named_at_once() {
    let faulty = settings_json(|value| {
        value["heartbeat_s"] = 0.into();
        value["retries"]["ratio"] = 11.into();
        value["renewal_ports"]["last"] = 7379.into();
        value["grace_s"] = 0.into();
    });
    let fault = Settings::parse(&faulty).unwrap_err();
    insta::assert_snapshot!(fault.to_string());
}

/// Without the memory and the descriptors of the process, callers are served as before there were limits.
#[test]
fn limits_derive_from_the_memory_and_the_descriptors_unless_stated() {
    let limits = |edit: fn(&mut serde_json::Value)| {
        let settings = Settings::parse(&settings_json(edit)).unwrap();
        let callers = settings.caller_limits().connections_max;
        let control = settings.control_limits().connections_max;
        (settings.answer_bytes_max() >> 20, callers, control)
    };
    assert_eq!(limits(|_| {}), (32, u32::MAX as usize, 64));
    let derived = limits(|value| {
        value["memory_mb"] = 160.into();
        value["descriptors_max"] = 4100.into();
    });
    assert_eq!(derived, (32, 2732, 64));
    let stated = limits(|value| {
        value["memory_mb"] = 160.into();
        value["descriptors_max"] = 128.into();
        value["connections"] = serde_json::json!({ "answers_mb": 3, "callers_max": 7 });
    });
    assert_eq!(stated, (3, 7, 4));
}

/// What the system has received and the node has not read is memory of the host, for each connection.
#[test]
fn memory_for_requests_derives_from_that_of_the_host() {
    let sizes = |memory: Option<u32>, descriptors: u32| {
        let settings = Settings::parse(&settings_json(|value| {
            value["descriptors_max"] = descriptors.into();
            if let Some(memory) = memory {
                value["memory_mb"] = memory.into();
            }
        }))
        .unwrap();
        let large_mb = settings.body_limits().large >> 20;
        (large_mb, settings.receive_buffer_bytes())
    };
    assert_eq!(sizes(None, 4100), (32, 32 * 1024));
    assert_eq!(sizes(Some(160), 4100), (64, 8 * 1024));
    assert_eq!(sizes(Some(512), 4100), (204, 24_564));
    assert_eq!(sizes(Some(160), 300), (64, 32 * 1024));
}

#[test]
fn unknown_and_negative_values_are_refused() {
    assert!(Settings::parse(&settings_json(|value| value["speed"] = 1.into())).is_err());
    assert!(Settings::parse(&settings_json(|value| value["grace_s"] = (-1).into())).is_err());
    assert!(Settings::parse("{").is_err());
}
