//! Tests of the sidecar's decision modules and of its frames. Whole nodes are tested together with the adapter, in
//! platform/tests.

#[path = "sidecar/answer_budget.rs"]
mod answer_budget;
#[path = "sidecar/authentication.rs"]
mod authentication;
#[path = "sidecar/body_budget.rs"]
mod body_budget;
#[path = "sidecar/cold_start.rs"]
mod cold_start;
#[path = "sidecar/connections.rs"]
mod connections;
#[path = "sidecar/dissemination.rs"]
mod dissemination;
#[path = "sidecar/document.rs"]
mod document;
#[path = "sidecar/evacuation.rs"]
mod evacuation;
#[path = "sidecar/fair_share.rs"]
mod fair_share;
#[path = "sidecar/frame.rs"]
mod frame;
#[path = "sidecar/freshness.rs"]
mod freshness;
#[path = "sidecar/http1.rs"]
mod http1;
#[path = "sidecar/load_balancer.rs"]
mod load_balancer;
#[path = "sidecar/moves.rs"]
mod moves;
#[path = "sidecar/neighbours.rs"]
mod neighbours;
#[path = "sidecar/orders.rs"]
mod orders;
#[path = "sidecar/pace.rs"]
mod pace;
#[path = "sidecar/placement_load.rs"]
mod placement_load;
#[path = "sidecar/queue.rs"]
mod queue;
#[path = "sidecar/queue_load.rs"]
mod queue_load;
#[path = "sidecar/refusal_history.rs"]
mod refusal_history;
#[path = "sidecar/regions.rs"]
mod regions;
mod renewal;
#[path = "sidecar/retry_budget.rs"]
mod retry_budget;
#[path = "sidecar/rollout.rs"]
mod rollout;
#[path = "sidecar/settings.rs"]
mod settings;
#[path = "sidecar/shutdown.rs"]
mod shutdown;
#[path = "sidecar/store_readers.rs"]
mod store_readers;
#[path = "sidecar/uploads.rs"]
mod uploads;
