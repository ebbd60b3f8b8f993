//! Recordings: what a module was told and did, as length-delimited protobuf, and their replay.

use ivyward_core::interface as core;
use ivyward_core::interface::{Action, EndpointId, Event, Micros, RequestId};
use ivyward_core::router::Router;
use ivyward_proto::record as pb;
use prost::Message;
use std::io::{self, BufRead, Write};

/// Version of the recordings that this program writes and reads.
pub const VERSION: u32 = 1;
/// Longest entry taken, in bytes: a list of some 100,000 engines.
const MOST_ENTRY: u64 = 8 << 20;

/// What is wrong with a recording.
#[derive(Debug, thiserror::Error)]
pub enum RecordingError {
    /// It cannot be read.
    #[error("the recording cannot be read: {0}")]
    Io(#[from] io::Error),
    /// It holds something that is no entry.
    #[error("entry {entry} of the recording is malformed: {what}")]
    Malformed {
        /// Its number, from 0.
        entry: usize,
        /// What was found.
        what: String,
    },
    /// It is of another version.
    #[error("the recording has version {0}; this program reads version {VERSION}")]
    Version(u32),
    /// The module did something else this time.
    #[error("step {step} at {at} us: recorded {recorded:?}, replayed {replayed:?}")]
    Differs {
        /// The step's number, from 0.
        step: usize,
        /// Its time.
        at: Micros,
        /// What was done then.
        recorded: Vec<Action>,
        /// What was done now.
        replayed: Vec<Action>,
    },
}

/// Writes a recording.
pub struct Recorder {
    out: Box<dyn Write + Send>,
    scratch: Vec<u8>,
}

impl Recorder {
    /// Begins a recording with the module's settings and seed.
    ///
    /// # Errors
    /// When the first entry cannot be written.
    pub fn begin(
        out: Box<dyn Write + Send>,
        settings: &core::Settings,
        seed: u64,
    ) -> io::Result<Recorder> {
        let mut recorder = Recorder {
            out,
            scratch: Vec::new(),
        };
        let start = pb::Start {
            version: VERSION,
            seed,
            settings: Some(settings_out(settings)),
        };
        recorder.write(&pb::Entry {
            entry: Some(pb::entry::Entry::Start(start)),
        })?;
        recorder.out.flush()?;
        Ok(recorder)
    }
    /// Adds an event and what it led to.
    ///
    /// # Errors
    /// When it cannot be written.
    pub fn step(&mut self, at: Micros, event: &Event, actions: &[Action]) -> io::Result<()> {
        let actions = actions.iter().map(action_out).collect();
        let step = pb::Step {
            at,
            event: Some(event_out(event)),
            actions,
        };
        self.write(&pb::Entry {
            entry: Some(pb::entry::Entry::Step(step)),
        })
    }
    /// Hands what was written so far to the system.
    ///
    /// # Errors
    /// When it cannot be written.
    pub fn flush(&mut self) -> io::Result<()> {
        self.out.flush()
    }
    fn write(&mut self, entry: &pb::Entry) -> io::Result<()> {
        self.scratch.clear();
        entry
            .encode_length_delimited(&mut self.scratch)
            .map_err(io::Error::other)?;
        self.out.write_all(&self.scratch)
    }
}

/// What a replay went over.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct ReplaySummary {
    /// Events.
    pub events: usize,
    /// Actions, all the same as recorded.
    pub actions: usize,
    /// Whether the recording ends inside an entry, as a killed node leaves it.
    pub cut: bool,
}

/// One event and what it led to.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// When, on the node's clock.
    pub at: Micros,
    /// What the module was told.
    pub event: Event,
    /// What it did.
    pub actions: Vec<Action>,
}

/// Reads a recording.
pub struct RecordingReader<R> {
    input: R,
    /// The module's settings.
    pub settings: core::Settings,
    /// The seed of its random choices.
    pub seed: u64,
    read: usize,
    cut: bool,
}

impl<R: BufRead> RecordingReader<R> {
    /// Reads a recording's start.
    ///
    /// # Errors
    /// [`RecordingError`] when it is no recording of this version.
    pub fn begin(mut input: R) -> Result<RecordingReader<R>, RecordingError> {
        let bad = |what: String| RecordingError::Malformed { entry: 0, what };
        let start = match entry(&mut input, 0)? {
            Some(pb::entry::Entry::Start(start)) => start,
            _ => return Err(bad("a recording begins with a Start".into())),
        };
        if start.version != VERSION {
            return Err(RecordingError::Version(start.version));
        }
        let settings = settings_in(&start.settings.unwrap_or_default()).map_err(bad)?;
        Ok(RecordingReader {
            input,
            settings,
            seed: start.seed,
            read: 0,
            cut: false,
        })
    }
    /// The next step, or `None` at the end, which may lie inside an entry: see [`RecordingReader::cut`].
    ///
    /// # Errors
    /// [`RecordingError`] when what follows is no step.
    pub fn step(&mut self) -> Result<Option<Step>, RecordingError> {
        self.read += 1;
        let no = self.read;
        let bad = |what: String| RecordingError::Malformed { entry: no, what };
        let step = match entry(&mut self.input, no) {
            Ok(Some(pb::entry::Entry::Step(step))) => step,
            Ok(Some(_)) => return Err(bad("a second Start".into())),
            Ok(None) => return Ok(None),
            Err(RecordingError::Io(e)) if e.kind() == io::ErrorKind::UnexpectedEof => {
                self.cut = true;
                return Ok(None);
            }
            Err(e) => return Err(e),
        };
        let event = step
            .event
            .ok_or_else(|| bad("a step without an event".into()))?;
        let event = event_in(event).map_err(bad)?;
        let actions = step
            .actions
            .into_iter()
            .map(action_in)
            .collect::<Result<_, _>>()
            .map_err(bad)?;
        Ok(Some(Step {
            at: step.at,
            event,
            actions,
        }))
    }
    /// Whether the recording ended inside an entry, as a killed node leaves it.
    pub fn cut(&self) -> bool {
        self.cut
    }
}

/// Gives a recording's events to a fresh router and compares what it does.
///
/// # Errors
/// [`RecordingError`] when the recording cannot be read, or the first step that differs.
pub fn replay(input: impl BufRead) -> Result<ReplaySummary, RecordingError> {
    let mut reader = RecordingReader::begin(input)?;
    let mut router = Router::new(reader.settings.clone(), reader.seed);
    let mut done = ReplaySummary::default();
    while let Some(Step {
        at,
        event,
        actions: recorded,
    }) = reader.step()?
    {
        let mut replayed = Vec::new();
        router.handle(at, event, &mut replayed);
        if recorded != replayed {
            return Err(RecordingError::Differs {
                step: done.events,
                at,
                recorded,
                replayed,
            });
        }
        done.events += 1;
        done.actions += replayed.len();
    }
    done.cut = reader.cut();
    Ok(done)
}

fn entry(input: &mut impl BufRead, no: usize) -> Result<Option<pb::entry::Entry>, RecordingError> {
    let (mut length, mut shift) = (0u64, 0);
    loop {
        let mut byte = [0u8];
        if shift == 0 && input.fill_buf()?.is_empty() {
            return Ok(None);
        }
        input.read_exact(&mut byte)?;
        length |= u64::from(byte[0] & 0x7f) << shift;
        shift += 7;
        if byte[0] < 0x80 {
            break;
        }
        if shift > 28 {
            return Err(RecordingError::Malformed {
                entry: no,
                what: "its length is no length".into(),
            });
        }
    }
    if length > MOST_ENTRY {
        return Err(RecordingError::Malformed {
            entry: no,
            what: format!("{length} bytes are too long"),
        });
    }
    let mut body = vec![0; length as usize];
    input.read_exact(&mut body)?;
    let entry = pb::Entry::decode(&body[..]).map_err(|e| RecordingError::Malformed {
        entry: no,
        what: e.to_string(),
    })?;
    entry
        .entry
        .map(Some)
        .ok_or_else(|| RecordingError::Malformed {
            entry: no,
            what: "it is empty".into(),
        })
}

/// Numbers for the words of the interface, both ways from one table.
macro_rules! words {
    ($out:ident, $back:ident, $type:ty, $($word:ident = $number:literal),+) => {
        fn $out(word: $type) -> u32 {
            match word { $(<$type>::$word => $number),+ }
        }
        fn $back(number: u32) -> Result<$type, String> {
            match number {
                $($number => Ok(<$type>::$word),)+
                other => Err(format!("{other} is no {}", stringify!($type))),
            }
        }
    };
}

words!(
    role_out,
    role_in,
    core::Role,
    Prefill = 0,
    Decode = 1,
    Mixed = 2
);
words!(
    effect_out,
    effect_in,
    core::Idempotency,
    Idempotent = 0,
    WithKey = 1,
    NonIdempotent = 2
);
words!(
    group_out,
    group_in,
    core::DeduplicationScope,
    All = 0,
    Zone = 1,
    Rack = 2
);
words!(
    condition_out,
    condition_in,
    core::EndpointState,
    Ready = 0,
    Draining = 1,
    Removed = 2
);
words!(
    list_out,
    list_in,
    core::ListKind,
    Changes = 0,
    Full = 1,
    Cached = 2,
    Failed = 3
);
words!(
    field_out,
    field_in,
    core::ReportField,
    Outstanding = 0,
    Backlog = 1,
    Utilization = 2,
    RecentMs = 3,
    MemoryShare = 4,
    WaitingKTokens = 5,
    Other = 6
);
words!(
    outcome_out,
    outcome_in,
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

fn narrow<T: TryFrom<u32>>(value: u32, what: &str) -> Result<T, String> {
    T::try_from(value).map_err(|_| format!("{value} is no {what}"))
}

fn settings_out(s: &core::Settings) -> pb::Settings {
    let class = |c: &core::ClassSettings| pb::Class {
        ttft_objective: c.ttft_objective,
        ttft_objective_per_1000: c.ttft_objective_per_1000,
        tpot_objective: c.tpot_objective,
        deadline: c.deadline,
        priority_weight: c.priority_weight,
        late_weight: c.late_weight,
        idempotency: effect_out(c.idempotency),
        deduplication_scope: group_out(c.deduplication_scope),
        deduplication_window: c.deduplication_window,
    };
    pb::Settings {
        replica_count: s.replica_count,
        zone: s.zone.into(),
        roles: s.roles.iter().map(|r| role_out(*r)).collect(),
        memory_tokens: s.memory_tokens.clone(),
        classes: s.classes.iter().map(class).collect(),
        tenants: s
            .tenants
            .iter()
            .map(|t| pb::Tenant {
                quota_per_s: t.quota_per_s,
            })
            .collect(),
        over_quota_weight: s.over_quota_weight,
        decode_may_prefill: s.decode_may_prefill,
        reserve_decode_slot: s.reserve_decode_slot,
        transfer_price: s.transfer_price,
        cross_zone_price: s.cross_zone_price,
        release_within: s.release_within,
        in_flight_after_last_byte: s.in_flight_after_last_byte,
        drain_grace: s.drain_grace,
        overload_multiple: s.overload_multiple,
        overload_window: s.overload_window,
        initial_capacity: s.initial_capacity,
        warm_up_duration: s.warm_up_duration,
        must_subscribe: s.must_subscribe,
        max_attempts: s.max_attempts,
        may_cancel: s.may_cancel,
        health_checks: s.health_checks,
        hedging: s.hedging,
        max_retry_after: s.max_retry_after,
        report_fields: s.report_fields.iter().map(|f| field_out(*f)).collect(),
    }
}

fn settings_in(s: &pb::Settings) -> Result<core::Settings, String> {
    let class = |c: &pb::Class| -> Result<core::ClassSettings, String> {
        Ok(core::ClassSettings {
            ttft_objective: c.ttft_objective,
            ttft_objective_per_1000: c.ttft_objective_per_1000,
            tpot_objective: c.tpot_objective,
            deadline: c.deadline,
            priority_weight: c.priority_weight,
            late_weight: c.late_weight,
            idempotency: effect_in(c.idempotency)?,
            deduplication_scope: group_in(c.deduplication_scope)?,
            deduplication_window: c.deduplication_window,
        })
    };
    Ok(core::Settings {
        replica_count: s.replica_count,
        zone: narrow(s.zone, "zone")?,
        roles: s
            .roles
            .iter()
            .map(|r| role_in(*r))
            .collect::<Result<_, _>>()?,
        memory_tokens: s.memory_tokens.clone(),
        classes: s.classes.iter().map(class).collect::<Result<_, _>>()?,
        tenants: s
            .tenants
            .iter()
            .map(|t| core::TenantSettings {
                quota_per_s: t.quota_per_s,
            })
            .collect(),
        over_quota_weight: s.over_quota_weight,
        decode_may_prefill: s.decode_may_prefill,
        reserve_decode_slot: s.reserve_decode_slot,
        transfer_price: s.transfer_price,
        cross_zone_price: s.cross_zone_price,
        release_within: s.release_within,
        in_flight_after_last_byte: s.in_flight_after_last_byte,
        drain_grace: s.drain_grace,
        overload_multiple: s.overload_multiple,
        overload_window: s.overload_window,
        initial_capacity: s.initial_capacity,
        warm_up_duration: s.warm_up_duration,
        must_subscribe: s.must_subscribe,
        max_attempts: s.max_attempts,
        may_cancel: s.may_cancel,
        health_checks: s.health_checks,
        hedging: s.hedging,
        max_retry_after: s.max_retry_after,
        report_fields: s
            .report_fields
            .iter()
            .map(|f| field_in(*f))
            .collect::<Result<_, _>>()?,
    })
}

fn report_out(report: &core::LoadReport) -> Vec<f32> {
    report.values[..report.len.min(4)].to_vec()
}

fn report_in(values: &[f32]) -> Result<core::LoadReport, String> {
    let mut report = core::LoadReport {
        len: values.len(),
        ..core::LoadReport::default()
    };
    report
        .values
        .get_mut(..values.len())
        .ok_or("a report has four values at most")?
        .copy_from_slice(values);
    Ok(report)
}

fn engine_out(e: &core::Endpoint) -> pb::Endpoint {
    pb::Endpoint {
        id: e.id.0,
        zone: e.zone.into(),
        machine_type: e.machine_type.into(),
        rack: e.rack.into(),
        state: condition_out(e.state),
        weight: e.weight,
        started_at: e.started_at,
    }
}

fn engine_in(e: &pb::Endpoint) -> Result<core::Endpoint, String> {
    Ok(core::Endpoint {
        id: EndpointId(e.id),
        zone: narrow(e.zone, "zone")?,
        machine_type: narrow(e.machine_type, "kind")?,
        rack: narrow(e.rack, "cell")?,
        state: condition_in(e.state)?,
        weight: e.weight,
        started_at: e.started_at,
    })
}

fn event_out(event: &Event) -> pb::Event {
    use pb::event::Event as Out;
    let event = match event {
        Event::EndpointList {
            kind,
            endpoints: entries,
        } => Out::EndpointList(pb::EndpointList {
            kind: list_out(*kind),
            endpoints: entries.iter().map(engine_out).collect(),
        }),
        Event::Request(a) => Out::Request(pb::Request {
            id: a.id.0,
            class: a.class as u32,
            tenant: a.tenant as u32,
            session: a.session,
            prefix: a.prefix,
            client_timeout: a.client_timeout,
            prompt_tokens: a.prompt_tokens,
            prefix_tokens: a.prefix_tokens,
            max_output: a.max_output,
            hinted_output: a.hinted_output,
            is_retry: a.is_retry,
            is_resumed: a.is_resumed,
        }),
        Event::FirstToken { request, attempt } => Out::FirstToken(pb::FirstToken {
            request: request.0,
            attempt: u32::from(*attempt),
        }),
        Event::ReservationResult {
            request,
            endpoint: server,
            reserved: held,
        } => Out::ReservationResult(pb::ReservationResult {
            request: request.0,
            endpoint: server.0,
            reserved: *held,
        }),
        Event::AttemptEnded {
            request,
            attempt,
            outcome,
            cached_tokens: kept_tokens,
            finished,
            report,
        } => Out::AttemptEnded(pb::AttemptEnded {
            request: request.0,
            attempt: u32::from(*attempt),
            outcome: outcome_out(*outcome),
            cached_tokens: *kept_tokens,
            finished: *finished,
            report: report_out(report),
        }),
        Event::ClientDisconnected(request) => Out::ClientDisconnected(request.0),
        Event::Timer(token) => Out::Timer(*token),
        Event::HealthCheckResult {
            endpoint: server,
            alive,
            report,
        } => Out::HealthCheckResult(pb::HealthCheckResult {
            endpoint: server.0,
            alive: *alive,
            report: report_out(report),
        }),
        Event::ReplicaCount(nodes) => Out::ReplicaCount(*nodes),
    };
    pb::Event { event: Some(event) }
}

fn event_in(event: pb::Event) -> Result<Event, String> {
    use pb::event::Event as In;
    Ok(match event.event.ok_or("an empty event")? {
        In::EndpointList(f) => Event::EndpointList {
            kind: list_in(f.kind)?,
            endpoints: f
                .endpoints
                .iter()
                .map(engine_in)
                .collect::<Result<_, _>>()?,
        },
        In::Request(a) => Event::Request(core::Request {
            id: RequestId(a.id),
            class: a.class as usize,
            tenant: a.tenant as usize,
            session: a.session,
            prefix: a.prefix,
            client_timeout: a.client_timeout,
            prompt_tokens: a.prompt_tokens,
            prefix_tokens: a.prefix_tokens,
            max_output: a.max_output,
            hinted_output: a.hinted_output,
            is_retry: a.is_retry,
            is_resumed: a.is_resumed,
        }),
        In::FirstToken(f) => Event::FirstToken {
            request: RequestId(f.request),
            attempt: narrow(f.attempt, "attempt")?,
        },
        In::ReservationResult(p) => Event::ReservationResult {
            request: RequestId(p.request),
            endpoint: EndpointId(p.endpoint),
            reserved: p.reserved,
        },
        In::AttemptEnded(e) => Event::AttemptEnded {
            request: RequestId(e.request),
            attempt: narrow(e.attempt, "attempt")?,
            outcome: outcome_in(e.outcome)?,
            cached_tokens: e.cached_tokens,
            finished: e.finished,
            report: report_in(&e.report)?,
        },
        In::ClientDisconnected(id) => Event::ClientDisconnected(RequestId(id)),
        In::Timer(token) => Event::Timer(token),
        In::HealthCheckResult(p) => Event::HealthCheckResult {
            endpoint: EndpointId(p.endpoint),
            alive: p.alive,
            report: report_in(&p.report)?,
        },
        In::ReplicaCount(nodes) => Event::ReplicaCount(nodes),
    })
}

fn action_out(action: &Action) -> pb::Action {
    use pb::action::Action as Out;
    let action = match action {
        Action::Send {
            request,
            endpoint: server,
            timeout,
            send_deadline,
        } => Out::Send(pb::Send {
            request: request.0,
            endpoint: server.0,
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
        Action::Reserve {
            request,
            endpoint: server,
        } => Out::Reserve(pb::Reserve {
            request: request.0,
            endpoint: server.0,
        }),
        Action::SetTimer { at, token } => Out::SetTimer(pb::SetTimer {
            at: *at,
            token: *token,
        }),
        Action::HealthCheck(server) => Out::HealthCheck(server.0),
        Action::Subscribe => Out::Subscribe(true),
        Action::Log(line) => Out::Log(line.clone()),
    };
    pb::Action {
        action: Some(action),
    }
}

fn action_in(action: pb::Action) -> Result<Action, String> {
    use pb::action::Action as In;
    Ok(match action.action.ok_or("an empty action")? {
        In::Send(s) => Action::Send {
            request: RequestId(s.request),
            endpoint: EndpointId(s.endpoint),
            timeout: s.timeout,
            send_deadline: s.send_deadline,
        },
        In::Cancel(c) => Action::Cancel {
            request: RequestId(c.request),
            attempt: narrow(c.attempt, "attempt")?,
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

#[cfg(test)]
mod tests;
