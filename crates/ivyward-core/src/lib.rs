//! Decisions of a front for a model service whose prompts are read on some servers (prefill) and answered on
//! others (decode).
//!
//! [`rules::Router`] holds the decisions on requests, [`interface`] the types it speaks; [`membership`] decides what lists
//! and notices of engines mean, [`starts`] what their told start times do, [`pace`] how often the module is told of changes,
//! [`peers`] which other nodes are here, [`keep`] which kept connections carry a request,
//! [`keepalive`] when connections are checked, [`release`] who is asked to let
//! go of what is held, [`watch`] how a list is followed, [`dial`] when a dial is tried again. [`invariants`] checks the rules at run time, apart from all of them.
//! It does no I/O and has no clock:
//! give it events, carry out the actions it returns.
//!
//! ```
//! use ivyward_core::interface::*;
//! use ivyward_core::rules::Router;
//!
//! let settings = Settings {
//!     nodes: 1, zone: 0, roles: vec![Role::Prefill, Role::Decode], memory_tokens: vec![],
//!     classes: vec![ClassSettings {
//!         ttft_aim: 1_000_000, ttft_aim_per_1000: 50_000.0, tpot_aim: 60_000.0, deadline: 5_000_000,
//!         worth: 1.0, late_share: 0.2, effect: Effect::Safe, group: RepeatGroup::All, repeat_window: 0,
//!     }],
//!     tenants: vec![], over_share_worth: 1.0, decode_may_prefill: true, hold_ahead: false,
//!     transfer_price: 0.0, cross_zone_price: 0.0, release_within: 300_000, out_once_left: true,
//!     drain_grace: 1_000_000, fall_multiple: 3.0, fall_window: 2_000_000, start_capacity: 0.3, warm_after: 10_000_000,
//!     must_subscribe: false, max_attempts: 4, may_cancel: true, probes: false, second_copies: false,
//!     max_retry_after: 500_000, report_fields: vec![],
//! };
//! let mut router = Router::new(settings, 7);
//! let mut actions = Vec::new();
//! let server = |id, kind| ServerEntry {
//!     id: ServerId(id), zone: 0, kind, cell: 0, condition: Condition::Ready, weight: 1.0, started: 0,
//! };
//! router.handle(0, Event::Fleet { kind: ListKind::Full, entries: vec![server(1, 0), server(2, 1)] }, &mut actions);
//! router.handle(10, Event::Request(Arrival {
//!     id: RequestId(1), class: 0, tenant: 0, session: 11, prefix: 22, patience: 5_000_000,
//!     prompt_tokens: 1_500.0, prefix_tokens: 1_000.0, max_output: 300.0, hinted_output: None,
//!     repeat: false, resumed: false,
//! }), &mut actions);
//! // A first turn is read at a prefill server.
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { server: ServerId(1), .. })));
//! ```

pub mod dial;
pub mod interface;
pub mod invariants;
pub mod keep;
pub mod keepalive;
pub mod membership;
pub mod pace;
pub mod peers;
pub mod planted;
pub mod release;
pub mod rules;
pub mod starts;
mod state;
pub mod watch;

/// The README's example, compiled and run as a test.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
pub struct Readme;
