//! Conversion between the types of the router's interface and protobuf messages.

use ivyward_core::interface as core;
use ivyward_core::interface::{Action, EndpointId, Event, RequestId};
use ivyward_proto::record as pb;

/// Why a message of a recording cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The value of a field is out of range.
    #[error("{field} cannot be {value}")]
    Value {
        /// Name of the field.
        field: &'static str,
        /// Value of the field.
        value: u32,
    },
    /// A load report has more than four values.
    #[error("a report has {0} values; four at most")]
    TooManyReportValues(usize),
    /// An event has no content, or content of an unknown type.
    #[error("the event is empty or of an unknown type")]
    EmptyEvent,
    /// An action has no content, or content of an unknown type.
    #[error("the action is empty or of an unknown type")]
    EmptyAction,
}

/// Defines the encoding and the decoding function of an enum from one table of its numbers.
macro_rules! enum_codec {
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

enum_codec!(
    encode_role,
    decode_role,
    core::Role,
    Prefill = 0,
    Decode = 1,
    Mixed = 2
);
enum_codec!(
    encode_idempotency,
    decode_idempotency,
    core::Idempotency,
    Idempotent = 0,
    WithKey = 1,
    NonIdempotent = 2
);
enum_codec!(
    encode_unconfirmed_attempts,
    decode_unconfirmed_attempts,
    core::UnconfirmedAttempts,
    CountAsArrived = 0,
    ReleaseBeside = 1,
    Cancel = 2
);
enum_codec!(
    encode_deduplication_scope,
    decode_deduplication_scope,
    core::DeduplicationScope,
    All = 0,
    Zone = 1,
    Rack = 2
);
enum_codec!(
    encode_endpoint_state,
    decode_endpoint_state,
    core::EndpointState,
    Ready = 0,
    Draining = 1,
    Removed = 2
);
enum_codec!(
    encode_list_kind,
    decode_list_kind,
    core::ListKind,
    Changes = 0,
    Full = 1,
    Cached = 2,
    Failed = 3
);
enum_codec!(
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
enum_codec!(
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

/// Converts a number to the narrower type of a field.
fn narrow<T: TryFrom<u32>>(field: &'static str, value: u32) -> Result<T, DecodeError> {
    T::try_from(value).map_err(|_| DecodeError::Value { field, value })
}

/// Builds a request class from one of the other type. Fields that have the same name and type in both are copied; the other
/// fields are given as arguments.
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

/// Builds settings from settings of the other type. Fields that have the same name and type in both are copied; the other
/// fields are given as arguments.
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

/// Builds a request from one of the other type. Fields that have the same name and type in both are copied; the other fields
/// are given as arguments.
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
            unconfirmed_attempts: encode_unconfirmed_attempts(settings.unconfirmed_attempts),
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
            unconfirmed_attempts: decode_unconfirmed_attempts(
                "unconfirmed_attempts",
                settings.unconfirmed_attempts,
            )?,
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
        .ok_or(DecodeError::TooManyReportValues(values.len()))?
        .copy_from_slice(values);
    Ok(report)
}

fn encode_endpoint(endpoint: &core::Endpoint) -> pb::Endpoint {
    pb::Endpoint {
        id: endpoint.id.0,
        zone: endpoint.zone.into(),
        machine_type: endpoint.machine_type.into(),
        rack: endpoint.rack.into(),
        state: encode_endpoint_state(endpoint.state),
        weight: endpoint.weight,
        started_at: endpoint.started_at,
    }
}

fn decode_endpoint(endpoint: &pb::Endpoint) -> Result<core::Endpoint, DecodeError> {
    Ok(core::Endpoint {
        id: EndpointId(endpoint.id),
        zone: narrow("zone", endpoint.zone)?,
        machine_type: narrow("machine_type", endpoint.machine_type)?,
        rack: narrow("rack", endpoint.rack)?,
        state: decode_endpoint_state("state", endpoint.state)?,
        weight: endpoint.weight,
        started_at: endpoint.started_at,
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
        Event::AttemptDelivered { request, attempt } => {
            Out::AttemptDelivered(pb::AttemptDelivered {
                request: request.0,
                attempt: u32::from(*attempt),
            })
        }
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
        In::EndpointList(list) => Event::EndpointList {
            kind: decode_list_kind("kind", list.kind)?,
            endpoints: list
                .endpoints
                .iter()
                .map(decode_endpoint)
                .collect::<Result<_, _>>()?,
        },
        In::Request(request) => Event::Request(decode_request(&request)),
        In::FirstToken(first_token) => Event::FirstToken {
            request: RequestId(first_token.request),
            attempt: narrow("attempt", first_token.attempt)?,
        },
        In::AttemptDelivered(delivered) => Event::AttemptDelivered {
            request: RequestId(delivered.request),
            attempt: narrow("attempt", delivered.attempt)?,
        },
        In::ReservationResult(result) => Event::ReservationResult {
            request: RequestId(result.request),
            endpoint: EndpointId(result.endpoint),
            reserved: result.reserved,
        },
        In::AttemptEnded(ended) => Event::AttemptEnded {
            request: RequestId(ended.request),
            attempt: narrow("attempt", ended.attempt)?,
            outcome: decode_outcome("outcome", ended.outcome)?,
            cached_tokens: ended.cached_tokens,
            finished: ended.finished,
            report: decode_report(&ended.report)?,
        },
        In::ClientDisconnected(id) => Event::ClientDisconnected(RequestId(id)),
        In::Timer(token) => Event::Timer(token),
        In::HealthCheckResult(result) => Event::HealthCheckResult {
            endpoint: EndpointId(result.endpoint),
            alive: result.alive,
            report: decode_report(&result.report)?,
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
        Action::ReleaseUnused(request) => Out::ReleaseUnused(request.0),
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
        In::Send(send) => Action::Send {
            request: RequestId(send.request),
            endpoint: EndpointId(send.endpoint),
            timeout: send.timeout,
            send_deadline: send.send_deadline,
        },
        In::Cancel(cancel) => Action::Cancel {
            request: RequestId(cancel.request),
            attempt: narrow("attempt", cancel.attempt)?,
        },
        In::Reject(reject) => Action::Reject {
            request: RequestId(reject.request),
            retry_after: reject.retry_after,
        },
        In::Fail(id) => Action::Fail(RequestId(id)),
        In::ReleaseReservation(id) => Action::ReleaseReservation(RequestId(id)),
        In::ReleaseUnused(id) => Action::ReleaseUnused(RequestId(id)),
        In::Reserve(reserve) => Action::Reserve {
            request: RequestId(reserve.request),
            endpoint: EndpointId(reserve.endpoint),
        },
        In::SetTimer(timer) => Action::SetTimer {
            at: timer.at,
            token: timer.token,
        },
        In::HealthCheck(id) => Action::HealthCheck(EndpointId(id)),
        In::Subscribe(_) => Action::Subscribe,
        In::Log(line) => Action::Log(line),
    })
}
