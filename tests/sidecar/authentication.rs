use {
    mulberryshelf::{
        http1::Field,
        sidecar::{
            authentication::{KEY_BYTES_MAX, Origin, Unauthorized, authenticate},
            document::{Account, Document, Index, Key},
        },
    },
    std::{collections::BTreeSet, sync::Arc},
};

fn index(needs_key: bool) -> Index {
    let longest = "k".repeat(KEY_BYTES_MAX);
    let account = Account {
        keys: ["secret", "two words", &longest].map(Key::new).into(),
        limit: None,
        name: "ferry".parse().unwrap(),
        priority: None,
        regions: BTreeSet::new(),
    };
    Index::new(&Document {
        accounts: [(account.name.clone(), Arc::new(account))].into(),
        needs_key,
        ..Document::default()
    })
}

/// Returns the name of the account, empty if there is none.
fn ask(values: &[&str], is_public: bool, origin: Origin) -> Result<String, Unauthorized> {
    let fields: Vec<Field> = values
        .iter()
        .map(|value| Field::new("AUTHORIZATION", *value))
        .collect();
    let account = authenticate(&index(true), &fields, is_public, origin)?;
    Ok(account.map_or(String::new(), |account| account.name.to_string()))
}

#[test]
fn only_one_field_with_the_scheme_and_a_known_key_identifies_an_account() {
    let longest = format!("Bearer {}", "k".repeat(KEY_BYTES_MAX));
    for known in [
        "Bearer secret",
        "bearer  secret",
        "Bearer two words",
        &longest,
    ] {
        assert_eq!(ask(&[known], false, Origin::Caller), Ok("ferry".into()));
        assert_eq!(ask(&[known], true, Origin::Caller), Ok("ferry".into()));
    }
    let over_long = format!("Bearer {}", "k".repeat(KEY_BYTES_MAX + 1));
    let unknown: [&[&str]; 9] = [
        &[""],
        &["Bearer"],
        &["secret"],
        &["Bearer other"],
        &["Basic secret"],
        &["Bearer secret, Bearer secret"],
        &["Bearer secret", "Bearer secret"],
        &["Bearer secret", "Basic other"],
        &[&over_long],
    ];
    for values in unknown {
        for origin in [Origin::Caller, Origin::RunningUpstream] {
            assert_eq!(ask(values, false, origin), Err(Unauthorized), "{values:?}");
            assert_eq!(ask(values, true, origin), Ok(String::new()), "{values:?}");
        }
    }
}

#[test]
fn request_without_a_key_passes_only_from_a_running_upstream_or_on_a_public_route() {
    assert_eq!(ask(&[], false, Origin::Caller), Err(Unauthorized));
    assert_eq!(ask(&[], false, Origin::RunningUpstream), Ok(String::new()));
    assert_eq!(ask(&[], true, Origin::Caller), Ok(String::new()));
}

#[test]
fn document_that_needs_no_key_admits_every_request_without_an_account() {
    let fields = [Field::new("Authorization", "Bearer secret")];
    let account = authenticate(&index(false), &fields, false, Origin::Caller);
    assert_eq!(account, Ok(None));
}

/// Keys appeared in `Debug` output of the fields of a request, which a later log line might print.
#[test]
fn credentials_appear_in_no_debug_output() {
    let fields = ["Authorization", "proxy-authorization"].map(|name| Field::new(name, "s3cr3t"));
    let bytes = format!("{:?}", b"s3cr3t");
    let shown = format!("{fields:?} {:?}", index(true));
    assert!(!shown.contains(&bytes[1..bytes.len() - 1]), "{shown}");
    assert!(!shown.contains("secret"), "{shown}");
}
