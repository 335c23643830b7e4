//! Resources and changes, through a node's API.

use serde_json::{Value, json};

const BATCH: usize = 250;

/// Has versions accepted, many at a time.
pub fn resources(api: &str, token: &str, first: usize, end: usize) {
    let indices: Vec<usize> = (first..end).collect();
    for batch in indices.chunks(BATCH) {
        let versions = batch.iter().map(|index| version(*index, "measured"));
        apply(api, token, &versions.collect());
    }
}

/// Has one version changed again and again.
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
