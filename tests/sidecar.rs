//! Tests of the sidecar's decision modules and of its frames. Whole nodes are tested together with the adapter, in
//! platform/tests.

#[path = "sidecar/document.rs"]
mod document;
#[path = "sidecar/duty.rs"]
mod duty;
#[path = "sidecar/frame.rs"]
mod frame;
#[path = "sidecar/http1.rs"]
mod http1;
#[path = "sidecar/moves.rs"]
mod moves;
#[path = "sidecar/neighbours.rs"]
mod neighbours;
#[path = "sidecar/placement.rs"]
mod placement;
#[path = "sidecar/queue.rs"]
mod queue;
#[path = "sidecar/ramp.rs"]
mod ramp;
#[path = "sidecar/retries.rs"]
mod retries;
#[path = "sidecar/returns.rs"]
mod returns;
#[path = "sidecar/settings.rs"]
mod settings;
#[path = "sidecar/spread.rs"]
mod spread;
