//! Mulberryshelf distributes the configuration of a service mesh. Operators declare routes, versions,
//! traffic shares and deadlines. Every node applies an accepted change within seconds, and never returns
//! to an older revision.
//!
//! The state machines ([`accounts`], [`control`], [`source`], [`traffic`], [`member`], [`snapshot`], [`spread`]) have
//! no clock, socket or thread. The modules that do I/O ([`link`], [`proxy`], [`api`], [`platform`])
//! make no decisions. See docs/design.md.

pub mod accounts;
pub mod admin;
pub mod api;
pub mod body;
pub mod control;
pub mod ctl;
pub mod daemon;
pub mod error;
pub mod event_log;
pub mod http1;
pub mod in_flight;
pub mod link;
pub mod member;
pub mod node;
pub mod peer;
pub mod platform;
pub mod proxy;
pub mod reachability;
pub mod refusal;
pub mod registration;
pub mod resource;
pub mod rollout;
pub mod settings;
pub mod sidecar;
pub mod snapshot;
pub mod source;
pub mod spread;
pub mod telemetry;
pub mod tls;
pub mod traffic;
pub mod types;
pub mod validate;
pub mod wire;
