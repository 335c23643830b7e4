//! The operator, who uses the API of one node.

use {
    mulberryshelf::types::Revision,
    serde_json::{Value, json},
    std::net::SocketAddr,
};

/// A client for a node's API.
#[derive(Clone)]
pub struct Operator {
    agent: ureq::Agent,
    api: SocketAddr,
    token: String,
}

impl Operator {
    /// Creates a client that authenticates with a token.
    pub fn new(api: SocketAddr, token: &str) -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .build();
        Self {
            agent: config.into(),
            api,
            token: format!("Bearer {token}"),
        }
    }

    /// Applies resources as one operation, and returns its revision.
    ///
    /// # Errors
    ///
    /// Returns the API's answer if the resources are refused.
    pub async fn apply(&self, resources: Value) -> Result<Revision, Value> {
        let body = json!({
            "operation": format!("{:032x}", rand::random::<u128>()),
            "resources": resources,
        });
        let operator = self.clone();
        let (status, answer) = run_blocking(move || {
            let url = format!("http://{}/v1/apply", operator.api);
            let request = operator.agent.post(url);
            let sent = request.header("authorization", &operator.token);
            read_json(sent.send(body.to_string()))
        })
        .await;
        match (status, answer["resourceVersion"].as_u64()) {
            (200, Some(revision)) => Ok(Revision(revision)),
            _ => Err(answer),
        }
    }

    /// Returns the API's answer for a resource.
    pub async fn get(&self, kind: &str, name: &str) -> Value {
        let path = format!("{kind}/{name}");
        let operator = self.clone();
        run_blocking(move || {
            let url = format!("http://{}/v1/{path}", operator.api);
            let request = operator.agent.get(url);
            read_json(request.header("authorization", &operator.token).call())
        })
        .await
        .1
    }
}

type Answer = Result<ureq::http::Response<ureq::Body>, ureq::Error>;

fn read_json(answer: Answer) -> (u16, Value) {
    let mut response = answer.expect("the API did not answer");
    let text = response
        .body_mut()
        .read_to_string()
        .expect("the API's answer broke off");
    let value = serde_json::from_str(&text).expect("the API's answer is not JSON");
    (response.status().as_u16(), value)
}

async fn run_blocking<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    tokio::task::spawn_blocking(work)
        .await
        .expect("the API call panicked")
}
