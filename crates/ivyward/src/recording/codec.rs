//! The types of the router's interface as protobuf messages, both ways.

use ivyward_core::interface as core;
use ivyward_core::interface::{Action, EndpointId, Event, RequestId};
use ivyward_proto::record as pb;

/// Why a message is not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// A field has a value that it cannot have.
    #[error("{field} cannot be {value}")]
    Value {
        /// The field's name.
        field: &'static str,
        /// Its value.
        value: u32,
    },
    /// A load report with too many values.
    #[error("a report has {0} values; four at most")]
    LongReport(usize),
    /// An event without content.
    #[error("an empty event")]
    EmptyEvent,
    /// An action without content.
    #[error("an empty action")]
    EmptyAction,
}

/// Encodes and decodes an enum of the interface by one table of its numbers.
macro_rules! numbered {
    ($encode:ident, $decode:ident, $type:ty, $($variant:ident = $number:literal),+) => {
        fn $encode(value: $type) -> u32 {
            match value { $(<$type>::$variant => $number),+ }
        }
        fn $decode(field: &'static str, number: u32) -> Result<$type, DecodeError> {
            match number {
                $($number => Ok(<$type>::$variant),)+
                value => Err(DecodeError::Value { field, value }),
            }
        }
    };
}

numbered!(
    encode_role,
    decode_role,
    core::Role,
    Prefill = 0,
    Decode = 1,
    Mixed = 2
);
numbered!(
    encode_idempotency,
    decode_idempotency,
    core::Idempotency,
    Idempotent = 0,
    WithKey = 1,
    NonIdempotent = 2
);
numbered!(
    encode_deduplication_scope,
    decode_deduplication_scope,
    core::DeduplicationScope,
    All = 0,
    Zone = 1,
    Rack = 2
);
numbered!(
    encode_endpoint_state,
    decode_endpoint_state,
    core::EndpointState,
    Ready = 0,
    Draining = 1,
    Removed = 2
);
numbered!(
    encode_list_kind,
    decode_list_kind,
    core::ListKind,
    Changes = 0,
    Full = 1,
    Cached = 2,
    Failed = 3
);
numbered!(
    encode_report_field,
    decode_report_field,
    core::ReportField,
    Outstanding = 0,
    Backlog = 1,
    Utilization = 2,
    RecentLatencyMs = 3,
    MemoryShare = 4,
    WaitingKTokens = 5,
    Other = 6
);
numbered!(
    encode_outcome,
    decode_outcome,
    core::Outcome,
    Served = 0,
    Prefilled = 1,
    Error = 2,
    Rejected = 3,
    KvCacheMiss = 4,
    TimedOut = 5,
    ConnectFailed = 6,
    Reset = 7,
    Cancelled = 8,
    NotSent = 9
);

fn narrow<T: TryFrom<u32>>(field: &'static str, value: u32) -> Result<T, DecodeError> {
    T::try_from(value).map_err(|_| DecodeError::Value { field, value })
}

/// A class from one that has fields of the same names; what differs is given beside it.
macro_rules! class_from {
    ($class:expr, $($type:ident)::+ { $($field:ident: $value:expr,)* }) => {
        $($type)::+ {
            $($field: $value,)*
            ttft_objective: $class.ttft_objective,
            ttft_objective_per_1000: $class.ttft_objective_per_1000,
            tpot_objective: $class.tpot_objective,
            deadline: $class.deadline,
            priority_weight: $class.priority_weight,
            late_weight: $class.late_weight,
            deduplication_window: $class.deduplication_window,
        }
    };
}

/// Settings from ones that have fields of the same names; what differs is given beside them.
macro_rules! settings_from {
    ($settings:expr, $($type:ident)::+ { $($field:ident: $value:expr,)* }) => {
        $($type)::+ {
            $($field: $value,)*
            replica_count: $settings.replica_count,
            memory_tokens: $settings.memory_tokens.clone(),
            over_quota_weight: $settings.over_quota_weight,
            decode_may_prefill: $settings.decode_may_prefill,
            reserve_decode_slot: $settings.reserve_decode_slot,
            transfer_price: $settings.transfer_price,
            cross_zone_price: $settings.cross_zone_price,
            release_within: $settings.release_within,
            in_flight_after_last_byte: $settings.in_flight_after_last_byte,
            drain_grace: $settings.drain_grace,
            overload_multiple: $settings.overload_multiple,
            overload_window: $settings.overload_window,
            initial_capacity: $settings.initial_capacity,
            warm_up_duration: $settings.warm_up_duration,
            must_subscribe: $settings.must_subscribe,
            max_attempts: $settings.max_attempts,
            may_cancel: $settings.may_cancel,
            health_checks: $settings.health_checks,
            hedging: $settings.hedging,
            max_retry_after: $settings.max_retry_after,
        }
    };
}

/// A request from one that has fields of the same names; what differs is given beside it.
macro_rules! request_from {
    ($request:expr, $($type:ident)::+ { $($field:ident: $value:expr,)* }) => {
        $($type)::+ {
            $($field: $value,)*
            session: $request.session,
            prefix: $request.prefix,
            client_timeout: $request.client_timeout,
            prompt_tokens: $request.prompt_tokens,
            prefix_tokens: $request.prefix_tokens,
            max_output: $request.max_output,
            hinted_output: $request.hinted_output,
            is_retry: $request.is_retry,
            is_resumed: $request.is_resumed,
        }
    };
}

fn encode_class(class: &core::ClassSettings) -> pb::Class {
    class_from!(
        class,
        pb::Class {
            idempotency: encode_idempotency(class.idempotency),
            deduplication_scope: encode_deduplication_scope(class.deduplication_scope),
        }
    )
}

fn decode_class(class: &pb::Class) -> Result<core::ClassSettings, DecodeError> {
    let scope = class.deduplication_scope;
    Ok(class_from!(
        class,
        core::ClassSettings {
            idempotency: decode_idempotency("idempotency", class.idempotency)?,
            deduplication_scope: decode_deduplication_scope("deduplication_scope", scope)?,
        }
    ))
}

pub(super) fn encode_settings(settings: &core::Settings) -> pb::Settings {
    let tenant = |tenant: &core::TenantSettings| pb::Tenant {
        quota_per_s: tenant.quota_per_s,
    };
    let fields = &settings.report_fields;
    settings_from!(
        settings,
        pb::Settings {
            zone: settings.zone.into(),
            roles: settings.roles.iter().map(|r| encode_role(*r)).collect(),
            classes: settings.classes.iter().map(encode_class).collect(),
            tenants: settings.tenants.iter().map(tenant).collect(),
            report_fields: fields.iter().map(|f| encode_report_field(*f)).collect(),
        }
    )
}

pub(super) fn decode_settings(settings: &pb::Settings) -> Result<core::Settings, DecodeError> {
    let role = |role: &u32| decode_role("roles", *role);
    let report_field = |field: &u32| decode_report_field("report_fields", *field);
    let tenant = |tenant: &pb::Tenant| core::TenantSettings {
        quota_per_s: tenant.quota_per_s,
    };
    let fields = &settings.report_fields;
    Ok(settings_from!(
        settings,
        core::Settings {
            zone: narrow("zone", settings.zone)?,
            roles: settings.roles.iter().map(role).collect::<Result<_, _>>()?,
            classes: settings
                .classes
                .iter()
                .map(decode_class)
                .collect::<Result<_, _>>()?,
            tenants: settings.tenants.iter().map(tenant).collect(),
            report_fields: fields.iter().map(report_field).collect::<Result<_, _>>()?,
        }
    ))
}

fn encode_request(request: &core::Request) -> pb::Request {
    request_from!(
        request,
        pb::Request {
            id: request.id.0,
            class: request.class as u32,
            tenant: request.tenant as u32,
        }
    )
}

fn decode_request(request: &pb::Request) -> core::Request {
    request_from!(
        request,
        core::Request {
            id: RequestId(request.id),
            class: request.class as usize,
            tenant: request.tenant as usize,
        }
    )
}

fn encode_report(report: &core::LoadReport) -> Vec<f32> {
    report.values[..report.len.min(4)].to_vec()
}

fn decode_report(values: &[f32]) -> Result<core::LoadReport, DecodeError> {
    let mut report = core::LoadReport {
        len: values.len(),
        ..core::LoadReport::default()
    };
    report
        .values
        .get_mut(..values.len())
        .ok_or(DecodeError::LongReport(values.len()))?
        .copy_from_slice(values);
    Ok(report)
}

fn encode_endpoint(e: &core::Endpoint) -> pb::Endpoint {
    pb::Endpoint {
        id: e.id.0,
        zone: e.zone.into(),
        machine_type: e.machine_type.into(),
        rack: e.rack.into(),
        state: encode_endpoint_state(e.state),
        weight: e.weight,
        started_at: e.started_at,
    }
}

fn decode_endpoint(e: &pb::Endpoint) -> Result<core::Endpoint, DecodeError> {
    Ok(core::Endpoint {
        id: EndpointId(e.id),
        zone: narrow("zone", e.zone)?,
        machine_type: narrow("machine_type", e.machine_type)?,
        rack: narrow("rack", e.rack)?,
        state: decode_endpoint_state("state", e.state)?,
        weight: e.weight,
        started_at: e.started_at,
    })
}

pub(super) fn encode_event(event: &Event) -> pb::Event {
    use pb::event::Event as Out;
    let event = match event {
        Event::EndpointList { kind, endpoints } => Out::EndpointList(pb::EndpointList {
            kind: encode_list_kind(*kind),
            endpoints: endpoints.iter().map(encode_endpoint).collect(),
        }),
        Event::Request(request) => Out::Request(encode_request(request)),
        Event::FirstToken { request, attempt } => Out::FirstToken(pb::FirstToken {
            request: request.0,
            attempt: u32::from(*attempt),
        }),
        Event::ReservationResult {
            request,
            endpoint,
            reserved,
        } => Out::ReservationResult(pb::ReservationResult {
            request: request.0,
            endpoint: endpoint.0,
            reserved: *reserved,
        }),
        Event::AttemptEnded {
            request,
            attempt,
            outcome,
            cached_tokens,
            finished,
            report,
        } => Out::AttemptEnded(pb::AttemptEnded {
            request: request.0,
            attempt: u32::from(*attempt),
            outcome: encode_outcome(*outcome),
            cached_tokens: *cached_tokens,
            finished: *finished,
            report: encode_report(report),
        }),
        Event::ClientDisconnected(request) => Out::ClientDisconnected(request.0),
        Event::Timer(token) => Out::Timer(*token),
        Event::HealthCheckResult {
            endpoint,
            alive,
            report,
        } => Out::HealthCheckResult(pb::HealthCheckResult {
            endpoint: endpoint.0,
            alive: *alive,
            report: encode_report(report),
        }),
        Event::ReplicaCount(nodes) => Out::ReplicaCount(*nodes),
    };
    pb::Event { event: Some(event) }
}

pub(super) fn decode_event(event: pb::Event) -> Result<Event, DecodeError> {
    use pb::event::Event as In;
    Ok(match event.event.ok_or(DecodeError::EmptyEvent)? {
        In::EndpointList(f) => Event::EndpointList {
            kind: decode_list_kind("kind", f.kind)?,
            endpoints: f
                .endpoints
                .iter()
                .map(decode_endpoint)
                .collect::<Result<_, _>>()?,
        },
        In::Request(request) => Event::Request(decode_request(&request)),
        In::FirstToken(f) => Event::FirstToken {
            request: RequestId(f.request),
            attempt: narrow("attempt", f.attempt)?,
        },
        In::ReservationResult(p) => Event::ReservationResult {
            request: RequestId(p.request),
            endpoint: EndpointId(p.endpoint),
            reserved: p.reserved,
        },
        In::AttemptEnded(e) => Event::AttemptEnded {
            request: RequestId(e.request),
            attempt: narrow("attempt", e.attempt)?,
            outcome: decode_outcome("outcome", e.outcome)?,
            cached_tokens: e.cached_tokens,
            finished: e.finished,
            report: decode_report(&e.report)?,
        },
        In::ClientDisconnected(id) => Event::ClientDisconnected(RequestId(id)),
        In::Timer(token) => Event::Timer(token),
        In::HealthCheckResult(p) => Event::HealthCheckResult {
            endpoint: EndpointId(p.endpoint),
            alive: p.alive,
            report: decode_report(&p.report)?,
        },
        In::ReplicaCount(nodes) => Event::ReplicaCount(nodes),
    })
}

pub(super) fn encode_action(action: &Action) -> pb::Action {
    use pb::action::Action as Out;
    let action = match action {
        Action::Send {
            request,
            endpoint,
            timeout,
            send_deadline,
        } => Out::Send(pb::Send {
            request: request.0,
            endpoint: endpoint.0,
            timeout: *timeout,
            send_deadline: *send_deadline,
        }),
        Action::Cancel { request, attempt } => Out::Cancel(pb::Cancel {
            request: request.0,
            attempt: u32::from(*attempt),
        }),
        Action::Reject {
            request,
            retry_after,
        } => Out::Reject(pb::Reject {
            request: request.0,
            retry_after: *retry_after,
        }),
        Action::Fail(request) => Out::Fail(request.0),
        Action::ReleaseReservation(request) => Out::ReleaseReservation(request.0),
        Action::Reserve { request, endpoint } => Out::Reserve(pb::Reserve {
            request: request.0,
            endpoint: endpoint.0,
        }),
        Action::SetTimer { at, token } => Out::SetTimer(pb::SetTimer {
            at: *at,
            token: *token,
        }),
        Action::HealthCheck(endpoint) => Out::HealthCheck(endpoint.0),
        Action::Subscribe => Out::Subscribe(true),
        Action::Log(line) => Out::Log(line.clone()),
    };
    pb::Action {
        action: Some(action),
    }
}

pub(super) fn decode_action(action: pb::Action) -> Result<Action, DecodeError> {
    use pb::action::Action as In;
    Ok(match action.action.ok_or(DecodeError::EmptyAction)? {
        In::Send(s) => Action::Send {
            request: RequestId(s.request),
            endpoint: EndpointId(s.endpoint),
            timeout: s.timeout,
            send_deadline: s.send_deadline,
        },
        In::Cancel(c) => Action::Cancel {
            request: RequestId(c.request),
            attempt: narrow("attempt", c.attempt)?,
        },
        In::Reject(r) => Action::Reject {
            request: RequestId(r.request),
            retry_after: r.retry_after,
        },
        In::Fail(id) => Action::Fail(RequestId(id)),
        In::ReleaseReservation(id) => Action::ReleaseReservation(RequestId(id)),
        In::Reserve(h) => Action::Reserve {
            request: RequestId(h.request),
            endpoint: EndpointId(h.endpoint),
        },
        In::SetTimer(t) => Action::SetTimer {
            at: t.at,
            token: t.token,
        },
        In::HealthCheck(id) => Action::HealthCheck(EndpointId(id)),
        In::Subscribe(_) => Action::Subscribe,
        In::Log(line) => Action::Log(line),
    })
}
