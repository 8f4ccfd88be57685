//! The decision logic of a gatekeeper that holds each customer of a shared back end to its plan.
//!
//! [`Gatekeeper`] is a state machine that does no I/O: time, the random seed and all events are inputs, and
//! actions are outputs. One instance runs in each gatekeeper process; instances share nothing but the counter
//! service that the actions address. `docs/design.md` explains the mechanism.
//!
//! ```
//! use granitelead_decisions::*;
//!
//! let settings = Settings {
//!     instances: 2,
//!     limits: Limits { max_attempts: 3, ..Limits::default() },
//!     classes: vec![Class { aim: 500_000, deadline: 2_000_000, ..Class::default() }],
//!     plans: vec![Plan { rate: 5.0, burst: 10.0, over_quota_cost: 1.0, ..Plan::default() }],
//!     ..Settings::default()
//! };
//! let now = 1_000_000;
//! let mut gatekeeper = Gatekeeper::new(settings, 42, now);
//! let mut actions = Vec::new();
//! gatekeeper.handle(
//!     now,
//!     Event::Servers(ServerList {
//!         scope: ListScope::Full,
//!         servers: vec![ServerInfo::ready(ServerId(7))],
//!     }),
//!     &mut actions,
//! );
//! gatekeeper.handle(
//!     now,
//!     Event::Request(Request {
//!         id: RequestId("r-1".into()),
//!         customer: CustomerId("acme".into()),
//!         class: Some(ClassId(0)),
//!         plan: Some(PlanId(0)),
//!         units: 1.0,
//!         gatekeepers: 2,
//!         time_left: 2_000_000,
//!         body_received: true,
//!     }),
//!     &mut actions,
//! );
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { server: ServerId(7), .. })));
//! ```

mod api;
mod gatekeeper;
pub mod settings;
mod state;

pub use api::*;
pub use gatekeeper::Gatekeeper;
pub use state::{hash, Customer, Handover};
