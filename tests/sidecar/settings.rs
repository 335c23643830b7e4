use mulberryshelf::sidecar::settings::Settings;

fn settings_json(edit: impl Fn(&mut serde_json::Value)) -> String {
    let mut value = serde_json::json!({
        "host": "a1", "domain": "luzon-a", "region": "luzon", "service": "desk",
        "callers": "127.0.0.1:1", "link": "127.0.0.1:2", "control": "127.0.0.1:3",
        "ready": "127.0.0.1:4", "metrics": "127.0.0.1:5", "upstream": "127.0.0.1:6",
        "store": "127.0.0.1:7", "heartbeat_s": 1.5, "grace_s": 6,
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
        value["grace_s"] = 0.into();
    });
    let fault = Settings::parse(&faulty).unwrap_err();
    insta::assert_snapshot!(fault.to_string());
}

#[test]
fn unknown_and_negative_values_are_refused() {
    assert!(Settings::parse(&settings_json(|value| value["speed"] = 1.into())).is_err());
    assert!(Settings::parse(&settings_json(|value| value["grace_s"] = (-1).into())).is_err());
    assert!(Settings::parse("{").is_err());
}
