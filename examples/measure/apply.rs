//! Creates and changes resources through a node's API.

use serde_json::{Value, json};

/// The number of versions in one operation.
const VERSIONS_PER_OPERATION: usize = 250;

/// Creates the versions numbered from `first` up to, but without, `end`, in batches.
pub fn resources(api: &str, token: &str, first: usize, end: usize) {
    let indices: Vec<usize> = (first..end).collect();
    for batch in indices.chunks(VERSIONS_PER_OPERATION) {
        let versions = batch.iter().map(|index| version(*index, "measured"));
        apply(api, token, &versions.collect());
    }
}

/// Changes one version `count` times, one operation after the other.
pub fn changes(api: &str, token: &str, count: usize) {
    for index in 0..count {
        let service = format!("measured-{}", index % 2);
        apply(api, token, &json!([version(usize::MAX, &service)]));
    }
}

fn version(index: usize, service: &str) -> Value {
    json!({
        "kind": "version",
        "metadata": { "name": format!("measured-{index}") },
        "spec": { "service": service },
    })
}

fn apply(api: &str, token: &str, resources: &Value) {
    let id = format!("{:032x}", rand::random::<u128>());
    let body = json!({ "operation": id, "resources": resources });
    let response = ureq::post(format!("http://{api}/v1/apply"))
        .header("authorization", format!("Bearer {token}"))
        .send(body.to_string());
    if let Err(error) = response {
        panic!("the change was not accepted: {error}");
    }
}
