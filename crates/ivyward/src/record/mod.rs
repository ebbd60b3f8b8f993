//! Recordings: what a module was told and did, as length-delimited protobuf, and their replay.

use ivyward_core::interface as core;
use ivyward_core::interface::{Action, Event, Micros, RequestId, ServerId};
use ivyward_core::rules::Router;
use ivyward_proto::record as pb;
use prost::Message;
use std::io::{self, BufRead, Write};

/// Version of the recordings that this program writes and reads.
pub const VERSION: u32 = 1;
/// Longest entry taken, in bytes: a list of some 100,000 engines.
const MOST_ENTRY: u64 = 8 << 20;

/// What is wrong with a recording.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
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
pub struct Replayed {
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
pub struct Reader<R> {
    input: R,
    /// The module's settings.
    pub settings: core::Settings,
    /// The seed of its random choices.
    pub seed: u64,
    read: usize,
    cut: bool,
}

impl<R: BufRead> Reader<R> {
    /// Reads a recording's start.
    ///
    /// # Errors
    /// [`RecordError`] when it is no recording of this version.
    pub fn begin(mut input: R) -> Result<Reader<R>, RecordError> {
        let bad = |what: String| RecordError::Malformed { entry: 0, what };
        let start = match entry(&mut input, 0)? {
            Some(pb::entry::Entry::Start(start)) => start,
            _ => return Err(bad("a recording begins with a Start".into())),
        };
        if start.version != VERSION {
            return Err(RecordError::Version(start.version));
        }
        let settings = settings_in(&start.settings.unwrap_or_default()).map_err(bad)?;
        Ok(Reader {
            input,
            settings,
            seed: start.seed,
            read: 0,
            cut: false,
        })
    }
    /// The next step, or `None` at the end, which may lie inside an entry: see [`Reader::cut`].
    ///
    /// # Errors
    /// [`RecordError`] when what follows is no step.
    pub fn step(&mut self) -> Result<Option<Step>, RecordError> {
        self.read += 1;
        let no = self.read;
        let bad = |what: String| RecordError::Malformed { entry: no, what };
        let step = match entry(&mut self.input, no) {
            Ok(Some(pb::entry::Entry::Step(step))) => step,
            Ok(Some(_)) => return Err(bad("a second Start".into())),
            Ok(None) => return Ok(None),
            Err(RecordError::Io(e)) if e.kind() == io::ErrorKind::UnexpectedEof => {
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
/// [`RecordError`] when the recording cannot be read, or the first step that differs.
pub fn replay(input: impl BufRead) -> Result<Replayed, RecordError> {
    let mut reader = Reader::begin(input)?;
    let mut router = Router::new(reader.settings.clone(), reader.seed);
    let mut done = Replayed::default();
    while let Some(Step {
        at,
        event,
        actions: recorded,
    }) = reader.step()?
    {
        let mut replayed = Vec::new();
        router.handle(at, event, &mut replayed);
        if recorded != replayed {
            return Err(RecordError::Differs {
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

fn entry(input: &mut impl BufRead, no: usize) -> Result<Option<pb::entry::Entry>, RecordError> {
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
            return Err(RecordError::Malformed {
                entry: no,
                what: "its length is no length".into(),
            });
        }
    }
    if length > MOST_ENTRY {
        return Err(RecordError::Malformed {
            entry: no,
            what: format!("{length} bytes are too long"),
        });
    }
    let mut body = vec![0; length as usize];
    input.read_exact(&mut body)?;
    let entry = pb::Entry::decode(&body[..]).map_err(|e| RecordError::Malformed {
        entry: no,
        what: e.to_string(),
    })?;
    entry.entry.map(Some).ok_or_else(|| RecordError::Malformed {
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
    core::Effect,
    Safe = 0,
    Keyed = 1,
    Unsafe = 2
);
words!(
    group_out,
    group_in,
    core::RepeatGroup,
    All = 0,
    Zone = 1,
    Cell = 2
);
words!(
    condition_out,
    condition_in,
    core::Condition,
    Ready = 0,
    Draining = 1,
    Gone = 2
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
    Read = 1,
    Error = 2,
    Full = 3,
    StateLost = 4,
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
        ttft_aim: c.ttft_aim,
        ttft_aim_per_1000: c.ttft_aim_per_1000,
        tpot_aim: c.tpot_aim,
        deadline: c.deadline,
        worth: c.worth,
        late_share: c.late_share,
        effect: effect_out(c.effect),
        group: group_out(c.group),
        repeat_window: c.repeat_window,
    };
    pb::Settings {
        nodes: s.nodes,
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
        over_share_worth: s.over_share_worth,
        decode_may_prefill: s.decode_may_prefill,
        hold_ahead: s.hold_ahead,
        transfer_price: s.transfer_price,
        cross_zone_price: s.cross_zone_price,
        release_within: s.release_within,
        out_once_left: s.out_once_left,
        drain_grace: s.drain_grace,
        fall_multiple: s.fall_multiple,
        fall_window: s.fall_window,
        start_capacity: s.start_capacity,
        warm_after: s.warm_after,
        must_subscribe: s.must_subscribe,
        max_attempts: s.max_attempts,
        may_cancel: s.may_cancel,
        probes: s.probes,
        second_copies: s.second_copies,
        max_retry_after: s.max_retry_after,
        report_fields: s.report_fields.iter().map(|f| field_out(*f)).collect(),
    }
}

fn settings_in(s: &pb::Settings) -> Result<core::Settings, String> {
    let class = |c: &pb::Class| -> Result<core::ClassSettings, String> {
        Ok(core::ClassSettings {
            ttft_aim: c.ttft_aim,
            ttft_aim_per_1000: c.ttft_aim_per_1000,
            tpot_aim: c.tpot_aim,
            deadline: c.deadline,
            worth: c.worth,
            late_share: c.late_share,
            effect: effect_in(c.effect)?,
            group: group_in(c.group)?,
            repeat_window: c.repeat_window,
        })
    };
    Ok(core::Settings {
        nodes: s.nodes,
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
        over_share_worth: s.over_share_worth,
        decode_may_prefill: s.decode_may_prefill,
        hold_ahead: s.hold_ahead,
        transfer_price: s.transfer_price,
        cross_zone_price: s.cross_zone_price,
        release_within: s.release_within,
        out_once_left: s.out_once_left,
        drain_grace: s.drain_grace,
        fall_multiple: s.fall_multiple,
        fall_window: s.fall_window,
        start_capacity: s.start_capacity,
        warm_after: s.warm_after,
        must_subscribe: s.must_subscribe,
        max_attempts: s.max_attempts,
        may_cancel: s.may_cancel,
        probes: s.probes,
        second_copies: s.second_copies,
        max_retry_after: s.max_retry_after,
        report_fields: s
            .report_fields
            .iter()
            .map(|f| field_in(*f))
            .collect::<Result<_, _>>()?,
    })
}

fn report_out(report: &core::Report) -> Vec<f32> {
    report.values[..report.len.min(4)].to_vec()
}

fn report_in(values: &[f32]) -> Result<core::Report, String> {
    let mut report = core::Report {
        len: values.len(),
        ..core::Report::default()
    };
    report
        .values
        .get_mut(..values.len())
        .ok_or("a report has four values at most")?
        .copy_from_slice(values);
    Ok(report)
}

fn engine_out(e: &core::ServerEntry) -> pb::Engine {
    pb::Engine {
        id: e.id.0,
        zone: e.zone.into(),
        kind: e.kind.into(),
        cell: e.cell.into(),
        condition: condition_out(e.condition),
        weight: e.weight,
        started: e.started,
    }
}

fn engine_in(e: &pb::Engine) -> Result<core::ServerEntry, String> {
    Ok(core::ServerEntry {
        id: ServerId(e.id),
        zone: narrow(e.zone, "zone")?,
        kind: narrow(e.kind, "kind")?,
        cell: narrow(e.cell, "cell")?,
        condition: condition_in(e.condition)?,
        weight: e.weight,
        started: e.started,
    })
}

fn event_out(event: &Event) -> pb::Event {
    use pb::event::Event as Out;
    let event = match event {
        Event::Fleet { kind, entries } => Out::Fleet(pb::Fleet {
            kind: list_out(*kind),
            engines: entries.iter().map(engine_out).collect(),
        }),
        Event::Request(a) => Out::Arrival(pb::Arrival {
            id: a.id.0,
            class: a.class as u32,
            tenant: a.tenant as u32,
            session: a.session,
            prefix: a.prefix,
            patience: a.patience,
            prompt_tokens: a.prompt_tokens,
            prefix_tokens: a.prefix_tokens,
            max_output: a.max_output,
            hinted_output: a.hinted_output,
            repeat: a.repeat,
            resumed: a.resumed,
        }),
        Event::FirstToken { request, attempt } => Out::FirstToken(pb::FirstToken {
            request: request.0,
            attempt: u32::from(*attempt),
        }),
        Event::PlaceAnswer {
            request,
            server,
            held,
        } => Out::PlaceAnswer(pb::PlaceAnswer {
            request: request.0,
            engine: server.0,
            held: *held,
        }),
        Event::AttemptEnded {
            request,
            attempt,
            outcome,
            kept_tokens,
            finished,
            report,
        } => Out::AttemptEnded(pb::AttemptEnded {
            request: request.0,
            attempt: u32::from(*attempt),
            outcome: outcome_out(*outcome),
            kept_tokens: *kept_tokens,
            finished: *finished,
            report: report_out(report),
        }),
        Event::ClientGone(request) => Out::ClientGone(request.0),
        Event::Timer(token) => Out::Timer(*token),
        Event::Probed {
            server,
            alive,
            report,
        } => Out::Probed(pb::Probed {
            engine: server.0,
            alive: *alive,
            report: report_out(report),
        }),
        Event::Nodes(nodes) => Out::Nodes(*nodes),
    };
    pb::Event { event: Some(event) }
}

fn event_in(event: pb::Event) -> Result<Event, String> {
    use pb::event::Event as In;
    Ok(match event.event.ok_or("an empty event")? {
        In::Fleet(f) => Event::Fleet {
            kind: list_in(f.kind)?,
            entries: f.engines.iter().map(engine_in).collect::<Result<_, _>>()?,
        },
        In::Arrival(a) => Event::Request(core::Arrival {
            id: RequestId(a.id),
            class: a.class as usize,
            tenant: a.tenant as usize,
            session: a.session,
            prefix: a.prefix,
            patience: a.patience,
            prompt_tokens: a.prompt_tokens,
            prefix_tokens: a.prefix_tokens,
            max_output: a.max_output,
            hinted_output: a.hinted_output,
            repeat: a.repeat,
            resumed: a.resumed,
        }),
        In::FirstToken(f) => Event::FirstToken {
            request: RequestId(f.request),
            attempt: narrow(f.attempt, "attempt")?,
        },
        In::PlaceAnswer(p) => Event::PlaceAnswer {
            request: RequestId(p.request),
            server: ServerId(p.engine),
            held: p.held,
        },
        In::AttemptEnded(e) => Event::AttemptEnded {
            request: RequestId(e.request),
            attempt: narrow(e.attempt, "attempt")?,
            outcome: outcome_in(e.outcome)?,
            kept_tokens: e.kept_tokens,
            finished: e.finished,
            report: report_in(&e.report)?,
        },
        In::ClientGone(id) => Event::ClientGone(RequestId(id)),
        In::Timer(token) => Event::Timer(token),
        In::Probed(p) => Event::Probed {
            server: ServerId(p.engine),
            alive: p.alive,
            report: report_in(&p.report)?,
        },
        In::Nodes(nodes) => Event::Nodes(nodes),
    })
}

fn action_out(action: &Action) -> pb::Action {
    use pb::action::Action as Out;
    let action = match action {
        Action::Send {
            request,
            server,
            timeout,
            leave_by,
        } => Out::Send(pb::Send {
            request: request.0,
            engine: server.0,
            timeout: *timeout,
            leave_by: *leave_by,
        }),
        Action::Cancel { request, attempt } => Out::Cancel(pb::Cancel {
            request: request.0,
            attempt: u32::from(*attempt),
        }),
        Action::Refuse {
            request,
            retry_after,
        } => Out::Refuse(pb::Refuse {
            request: request.0,
            retry_after: *retry_after,
        }),
        Action::Fail(request) => Out::Fail(request.0),
        Action::Release(request) => Out::Release(request.0),
        Action::HoldAhead { request, server } => Out::Hold(pb::Hold {
            request: request.0,
            engine: server.0,
        }),
        Action::SetTimer { at, token } => Out::SetTimer(pb::SetTimer {
            at: *at,
            token: *token,
        }),
        Action::Probe(server) => Out::Probe(server.0),
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
            server: ServerId(s.engine),
            timeout: s.timeout,
            leave_by: s.leave_by,
        },
        In::Cancel(c) => Action::Cancel {
            request: RequestId(c.request),
            attempt: narrow(c.attempt, "attempt")?,
        },
        In::Refuse(r) => Action::Refuse {
            request: RequestId(r.request),
            retry_after: r.retry_after,
        },
        In::Fail(id) => Action::Fail(RequestId(id)),
        In::Release(id) => Action::Release(RequestId(id)),
        In::Hold(h) => Action::HoldAhead {
            request: RequestId(h.request),
            server: ServerId(h.engine),
        },
        In::SetTimer(t) => Action::SetTimer {
            at: t.at,
            token: t.token,
        },
        In::Probe(id) => Action::Probe(ServerId(id)),
        In::Subscribe(_) => Action::Subscribe,
        In::Log(line) => Action::Log(line),
    })
}

#[cfg(test)]
mod tests;
