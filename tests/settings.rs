//! All settings are checked and all faults reported at once, and the operators' page lists the settings
//! as they are in the code.

use {
    mulberryshelf::{
        daemon,
        settings::{Fault, Right, Settings, key::KEYS},
        tls::Authority,
    },
    serde_json::{Value, json},
    std::{fs, path::Path},
    tempfile::TempDir,
};

const PAGE: &str = include_str!("../docs/operators/settings.md");
const DIRECTORY: &str = "/etc/mulberryshelf";

fn sample(directory: &Path) -> Value {
    let start = PAGE.find("```json\n").unwrap() + "```json\n".len();
    let end = start + PAGE[start..].find("```").unwrap();
    let text = PAGE[start..end].replace(DIRECTORY, directory.to_str().unwrap());
    serde_json::from_str(&text).unwrap()
}

fn write_identity_files() -> TempDir {
    let directory = tempfile::tempdir().unwrap();
    let authority = Authority::generate().unwrap();
    let identity = authority
        .issue_node_identity(&"desk-7".parse().unwrap(), &"luzon-a".parse().unwrap())
        .unwrap();
    let files = [
        ("authority.pem", identity.authority),
        ("desk-7.pem", identity.certificate),
        ("desk-7.key", identity.key),
    ];
    for (name, text) in files {
        fs::write(directory.path().join(name), text).unwrap();
    }
    directory
}

fn faults(change: impl FnOnce(&mut Value)) -> Vec<String> {
    let directory = write_identity_files();
    let mut settings = sample(directory.path());
    change(&mut settings);
    let path = directory.path().to_str().unwrap();
    Settings::parse(&settings.to_string())
        .unwrap_err()
        .iter()
        .map(|fault: &Fault| fault.to_string().replace(path, DIRECTORY))
        .collect()
}

#[test]
fn sample_is_valid_and_names_every_setting() {
    let directory = write_identity_files();
    let sample = sample(directory.path());
    let file = directory.path().join("node.json");
    fs::write(&file, sample.to_string()).unwrap();
    daemon::load(&file).unwrap();
    for key in KEYS {
        let pointer = format!("/{}", key.path.replace('.', "/"));
        assert!(sample.pointer(&pointer).is_some(), "{}", key.path);
    }
}

#[test]
fn page_lists_each_setting_with_default_unit_and_bound() {
    let rows: Vec<&str> = PAGE
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    let keys: Vec<String> = KEYS.iter().map(ToString::to_string).collect();
    assert_eq!(rows, keys);
}

#[test]
fn omitted_settings_take_the_listed_defaults() {
    let directory = write_identity_files();
    let mut settings = sample(directory.path());
    let entries = settings.as_object_mut().unwrap();
    entries.retain(|name, _| {
        name == "tokens"
            || KEYS
                .iter()
                .any(|key| key.path == name && key.default.is_none())
    });
    let settings = Settings::parse(&settings.to_string()).unwrap();
    let default = |path: &str| -> u128 {
        let key = KEYS.iter().find(|key| key.path == path).unwrap();
        key.default.unwrap().parse().unwrap()
    };
    assert_eq!(settings.lease.as_millis(), default("lease_ms"));
    assert_eq!(settings.stop.spread.as_millis(), default("stop.spread_ms"));
    assert_eq!(
        settings.stop.timeout.as_millis(),
        default("stop.timeout_ms")
    );
    assert_eq!(
        settings.stop,
        mulberryshelf::settings::StopLimits::default()
    );
    assert!(settings.peers.is_empty() && settings.statsd.is_none());
}

#[test]
fn every_fault_is_named_at_once_with_path_and_value() {
    let faults = faults(|settings| {
        settings["adnim"] = json!("127.0.0.1:9100");
        settings["stop"]["timeout"] = json!(5);
        settings["stop"]["spread_ms"] = json!(2_001);
        settings["api"] = json!(9000);
        settings["proxy"] = json!("10.1.0.7");
        settings["host"] = json!("Desk 7");
        settings["region"] = Value::Null;
        settings["key"] = json!("/etc/mulberryshelf/no-such.key");
        settings["platform"] = json!("https://10.1.255.1");
        settings["peers"] = json!(["10.1.0.8:7000", "0.0.0.0:7000", "10.1.0.8:7000", 5]);
        settings["tokens"] = json!({ "read": "", "write": "two words" });
        settings["lease_ms"] = json!("10s");
        settings["admin_exposed"] = json!("no");
    });
    insta::assert_snapshot!(faults.join("\n"));
}

#[test]
fn unknown_key_is_refused_with_the_nearest_known_one() {
    let faults = faults(|settings| settings["peer"] = json!([]));
    assert_eq!(faults, ["`peer`: is unknown; is `peers` meant?"]);
}

#[test]
fn duplicate_port_is_refused() {
    let same = faults(|settings| settings["api"] = json!("10.1.0.7:8000"));
    assert_eq!(same, ["`proxy` = \"10.1.0.7:8000\": is the port of `api`"]);
    let unspecified = faults(|settings| settings["proxy"] = json!("0.0.0.0:9000"));
    assert_eq!(
        unspecified,
        ["`proxy` = \"0.0.0.0:9000\": is the port of `api`"]
    );
}

#[test]
fn exposed_admin_port_must_be_allowed_explicitly() {
    let refused = faults(|settings| settings["admin"] = json!("10.1.0.7:9100"));
    assert_eq!(refused.len(), 1);
    assert!(refused[0].contains("is not loopback"), "{refused:?}");
    let directory = write_identity_files();
    let mut allowed = sample(directory.path());
    allowed["admin"] = json!("10.1.0.7:9100");
    allowed["admin_exposed"] = json!(true);
    Settings::parse(&allowed.to_string()).unwrap();
}

#[test]
fn equal_tokens_are_refused_and_never_shown() {
    let faults = faults(|settings| settings["tokens"]["read"] = json!("let-me-change"));
    assert_eq!(faults, ["`tokens.write`: is equal to `tokens.read`"]);
}

#[test]
fn text_other_than_a_json_object_is_refused() {
    for text in ["", "{", "[]", "5"] {
        let faults = Settings::parse(text).unwrap_err();
        assert_eq!(faults[0].path, ".", "{faults:?}");
    }
}

#[test]
fn read_and_write_tokens_give_different_rights() {
    let directory = write_identity_files();
    let settings = Settings::parse(&sample(directory.path()).to_string()).unwrap();
    assert_eq!(settings.tokens.right("let-me-look"), Some(Right::Read));
    assert_eq!(settings.tokens.right("let-me-change"), Some(Right::Write));
    for token in ["", "let-me-loo", "let-me-looks", "let-me-chance"] {
        assert_eq!(settings.tokens.right(token), None);
    }
}

#[test]
fn mismatched_or_expired_certificate_is_refused() {
    let check = |names: &[&str], days| {
        let authority = Authority::generate().unwrap();
        let names = names.iter().map(ToString::to_string).collect();
        let identity = authority.issue_identity(names, days).unwrap();
        identity
            .verify(&"desk-7".parse().unwrap(), &"luzon-a".parse().unwrap())
            .map_err(|error| error.to_string())
    };
    check(&["node.mulberryshelf", "desk-7.luzon-a.mulberryshelf"], 1).unwrap();
    let refused = [
        (
            ["node.mulberryshelf", "desk-8.luzon-a.mulberryshelf"],
            1,
            "names desk-8",
        ),
        (
            ["node.mulberryshelf", "desk-7.luzon-b.mulberryshelf"],
            1,
            "in luzon-b",
        ),
        (["node.mulberryshelf", "desk-7.example"], 1, "names no host"),
        (
            ["node.mulberryshelf", "desk-7.luzon-a.mulberryshelf"],
            -1,
            "CertExpired",
        ),
    ];
    for (names, days, message) in refused {
        let error = check(&names, days).unwrap_err();
        assert!(error.contains(message), "{error}");
    }
}
