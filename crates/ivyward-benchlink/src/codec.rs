//! The wire's batches and replies, translated to and from the library's events and actions.

use ivyward_core::interface::*;

const EVENT_SIZE: usize = 56;
const ACTION_SIZE: usize = 24;

/// Something that a batch asks of the adapter.
pub enum Input {
    /// The next inputs are for this instance.
    Target(u32),
    /// Start an instance with this seed and these settings.
    Create { seed: u64, env: String },
    /// Drop an instance.
    Stop,
    /// Give an event to the instance.
    Event(Event),
    /// Legal, and nothing that the library wants to know.
    Nothing,
}

/// Reads little-endian fields out of a slice and names the place when there are too few bytes.
struct Fields<'a> {
    bytes: &'a [u8],
    what: &'static str,
    start: usize,
}

impl<'a> Fields<'a> {
    fn array<const N: usize>(&self, at: usize) -> Result<[u8; N], String> {
        let slice = self.bytes.get(at..at + N);
        slice.and_then(|s| s.try_into().ok()).ok_or_else(|| {
            let place = self.start + at;
            format!("{} cut short at byte {place}", self.what)
        })
    }
    fn u8(&self, at: usize) -> Result<u8, String> {
        Ok(self.array::<1>(at)?[0])
    }
    fn u16(&self, at: usize) -> Result<u16, String> {
        Ok(u16::from_le_bytes(self.array(at)?))
    }
    fn u32(&self, at: usize) -> Result<u32, String> {
        Ok(u32::from_le_bytes(self.array(at)?))
    }
    fn u64(&self, at: usize) -> Result<u64, String> {
        Ok(u64::from_le_bytes(self.array(at)?))
    }
    fn f32(&self, at: usize) -> Result<f32, String> {
        Ok(f32::from_le_bytes(self.array(at)?))
    }
    fn tokens(&self, at: usize) -> Result<f64, String> {
        let value = self.f32(at)?;
        if value.is_finite() && value >= 0.0 {
            return Ok(f64::from(value));
        }
        Err(format!(
            "{}: {value} is no token count at byte {}",
            self.what,
            self.start + at
        ))
    }
    fn server(&self, at: usize) -> Result<EndpointId, String> {
        let b: [u8; 6] = self.array(at)?;
        Ok(EndpointId(u64::from_be_bytes([
            0, 0, b[0], b[1], b[2], b[3], b[4], b[5],
        ])))
    }
    fn report(&self, at: usize) -> Result<LoadReport, String> {
        let len = usize::from(self.u8(at)?);
        if len > 4 {
            return Err(format!("{}: load report of {len} values", self.what));
        }
        let mut values = [0.0; 4];
        for (i, value) in values.iter_mut().enumerate() {
            *value = self.f32(at + 1 + 4 * i)?;
        }
        Ok(LoadReport { len, values })
    }
}

/// One batch: its clock and what it holds, in order.
pub struct Batch {
    pub clock: Micros,
    pub inputs: Vec<Input>,
}

/// Decodes a batch; `body` is all that follows the length field.
pub fn decode(body: &[u8]) -> Result<Batch, String> {
    let head = Fields {
        bytes: body,
        what: "batch header",
        start: 4,
    };
    let clock = head.u64(0)?;
    let count = head.u32(8)? as usize;
    let records = &body[12..];
    let tail_at = count
        .checked_mul(EVENT_SIZE)
        .filter(|n| *n <= records.len());
    let tail_at = tail_at.ok_or_else(|| {
        format!(
            "batch of {count} records cut short at byte {}",
            body.len() + 4
        )
    })?;
    let (records, tail) = records.split_at(tail_at);
    let mut inputs = Vec::with_capacity(count);
    for (i, record) in records.chunks_exact(EVENT_SIZE).enumerate() {
        let input = decode_event(record, tail, 16 + i * EVENT_SIZE);
        inputs.push(input.map_err(|e| format!("record {i}: {e}"))?);
    }
    Ok(Batch { clock, inputs })
}

fn tail_part<'a>(f: &Fields, tail: &'a [u8], at: usize, unit: usize) -> Result<&'a [u8], String> {
    let (offset, length) = (f.u32(at)? as usize, f.u32(at + 4)? as usize);
    let end = length.checked_mul(unit).and_then(|n| n.checked_add(offset));
    end.and_then(|end| tail.get(offset..end))
        .ok_or_else(|| format!("{} points outside the tail ({offset} + {length})", f.what))
}

fn decode_event(record: &[u8], tail: &[u8], start: usize) -> Result<Input, String> {
    let f = |what| Fields {
        bytes: record,
        what,
        start,
    };
    let event = match record[0] {
        9 => return Ok(Input::Target(f("TARGET_INSTANCE").u32(1)?)),
        3 => {
            let f = f("CREATE");
            let env = String::from_utf8(tail_part(&f, tail, 9, 1)?.to_vec());
            let env = env.map_err(|_| "CREATE: settings are not text".to_string())?;
            return Ok(Input::Create {
                seed: f.u64(1)?,
                env,
            });
        }
        1 => return Ok(Input::Stop),
        11 => decode_update(&f("UPDATE"), tail)?,
        10 => {
            let f = f("KNOCK");
            let opts = f.u16(51)?;
            Event::Request(Request {
                id: RequestId(f.u64(1)?),
                class: usize::from(f.u16(9)?),
                tenant: f.u32(11)? as usize,
                session: f.u64(15)?,
                client_timeout: u64::from(f.u32(23)?),
                // The hint is a time; the caller turns it into tokens with the class's pace.
                hinted_output: (opts & 1 != 0).then_some(f64::from(f.u32(27)?)),
                prefix: f.u64(31)?,
                prompt_tokens: f.tokens(39)?,
                prefix_tokens: f.tokens(43)?,
                max_output: f.tokens(47)?,
                is_retry: opts & 2 != 0,
                is_resumed: opts & 16 != 0,
            })
        }
        12 => {
            let f = f("STREAMING");
            Event::FirstToken {
                request: RequestId(f.u64(1)?),
                attempt: f.u16(9)?,
            }
        }
        2 => {
            let f = f("HOLD_RESULT");
            Event::ReservationResult {
                request: RequestId(f.u64(1)?),
                endpoint: f.server(14)?,
                reserved: f.u8(13)? == 1,
            }
        }
        5 => {
            let f = f("OUTCOME");
            let remark = f.u32(14)?;
            let outcome = match f.u8(26)? {
                10 => Outcome::Served,
                20 => Outcome::Error,
                30 if remark == 1 => Outcome::KvCacheMiss,
                30 => Outcome::Rejected,
                40 => Outcome::TimedOut,
                50 => Outcome::ConnectFailed,
                60 => Outcome::Reset,
                70 => Outcome::Cancelled,
                80 => Outcome::NotSent,
                202 => Outcome::Prefilled,
                other => {
                    return Err(format!(
                        "OUTCOME: unknown outcome {other} at byte {}",
                        start + 26
                    ))
                }
            };
            Event::AttemptEnded {
                request: RequestId(f.u64(1)?),
                attempt: f.u16(24)?,
                outcome,
                cached_tokens: remark,
                finished: f.u8(9)? != 0,
                report: f.report(27)?,
            }
        }
        4 => Event::ClientDisconnected(RequestId(f("CANCELLED_BY_CLIENT").u64(1)?)),
        7 => Event::Timer(f("TIMEOUT_FIRED").u64(1)?),
        6 => {
            let f = f("HEALTH_RESULT");
            Event::HealthCheckResult {
                endpoint: f.server(6)?,
                alive: f.u8(5)? == 10,
                report: f.report(12)?,
            }
        }
        8 => return Ok(Input::Nothing),
        other => return Err(format!("unknown event code {other} at byte {start}")),
    };
    Ok(Input::Event(event))
}

fn decode_update(f: &Fields, tail: &[u8]) -> Result<Event, String> {
    let kind = match f.u8(5)? {
        0 => ListKind::Changes,
        1 => ListKind::Full,
        2 => ListKind::Cached,
        3 => ListKind::Failed,
        other => {
            return Err(format!(
                "UPDATE: unknown kind of list {other} at byte {}",
                f.start + 5
            ))
        }
    };
    let mut entries = Vec::new();
    for entry in tail_part(f, tail, 6, 23)?.chunks_exact(23) {
        let e = Fields {
            bytes: entry,
            what: "UPDATE entry",
            start: 0,
        };
        let condition = match e.u8(10)? {
            0 => EndpointState::Removed,
            1 => EndpointState::Ready,
            2 => EndpointState::Draining,
            other => return Err(format!("UPDATE: unknown condition {other}")),
        };
        entries.push(Endpoint {
            id: e.server(0)?,
            zone: e.u8(6)?,
            machine_type: e.u8(7)?,
            rack: e.u16(8)?,
            state: condition,
            weight: f64::from(e.f32(11)?),
            started_at: e.u64(15)?,
        });
    }
    Ok(Event::EndpointList {
        kind,
        endpoints: entries,
    })
}

/// Collects a reply.
#[derive(Default)]
pub struct Reply {
    count: u32,
    records: Vec<u8>,
    tail: Vec<u8>,
    speaker: Option<u32>,
}

impl Reply {
    fn record(&mut self, code: u8, parts: &[&[u8]]) {
        let start = self.records.len();
        self.records.push(code);
        for part in parts {
            self.records.extend_from_slice(part);
        }
        debug_assert!(self.records.len() - start <= ACTION_SIZE);
        self.records.resize(start + ACTION_SIZE, 0);
        self.count += 1;
    }

    fn text(&mut self, code: u8, text: &str) {
        let (at, len) = (self.tail.len() as u32, text.len() as u32);
        self.tail.extend_from_slice(text.as_bytes());
        self.record(code, &[&at.to_le_bytes(), &len.to_le_bytes()]);
    }

    /// The next actions belong to this instance.
    pub fn speak_for(&mut self, instance: u32) {
        if self.speaker != Some(instance) {
            self.speaker = Some(instance);
            self.record(80, &[&instance.to_le_bytes()]);
        }
    }

    /// Says that the decision code failed.
    pub fn die(&mut self, text: &str) {
        self.text(74, text);
    }

    /// Adds an action of the instance spoken for.
    pub fn push(&mut self, action: &Action) {
        let id = |r: &RequestId| r.0.to_le_bytes();
        let server = |s: &EndpointId| -> [u8; 6] {
            let b = s.0.to_be_bytes();
            [b[2], b[3], b[4], b[5], b[6], b[7]]
        };
        let span = |t: &Micros| u32::try_from(*t).unwrap_or(u32::MAX).to_le_bytes();
        match action {
            // There an attempt is out from its send, so that nothing waits for its last byte.
            Action::Send {
                request,
                endpoint: to,
                timeout,
                send_deadline: _,
            } => {
                self.record(65, &[&id(request), &server(to), &span(timeout)]);
            }
            Action::Cancel { request, attempt } => {
                self.record(68, &[&id(request), &attempt.to_le_bytes()])
            }
            Action::Reject {
                request,
                retry_after,
            } => self.record(66, &[&id(request), &span(retry_after)]),
            Action::Fail(request) => self.record(67, &[&id(request)]),
            Action::ReleaseReservation(request) => self.record(79, &[&id(request)]),
            Action::Reserve {
                request,
                endpoint: at,
            } => self.record(78, &[&id(request), &server(at)]),
            Action::SetTimer { at, token } => {
                self.record(69, &[&at.to_le_bytes(), &token.to_le_bytes()])
            }
            Action::HealthCheck(which) => self.record(70, &[&server(which)]),
            Action::Subscribe => self.record(75, &[&[1]]),
            Action::Log(line) => self.text(73, line),
        }
    }

    /// The reply as it goes out.
    pub fn finish(self) -> Vec<u8> {
        let mut out = Vec::with_capacity(8 + self.records.len() + self.tail.len());
        out.extend_from_slice(&self.count.to_le_bytes());
        out.extend_from_slice(&((self.records.len() + self.tail.len()) as u32).to_le_bytes());
        out.extend_from_slice(&self.records);
        out.extend_from_slice(&self.tail);
        out
    }
}
