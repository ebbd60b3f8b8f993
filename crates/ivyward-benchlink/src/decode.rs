//! Decodes the simulator's batches into events of the router.
//!
//! A batch is a header (length, clock, number of records), the records, and a tail that records refer to by offset and
//! length.

use crate::error::FrameError;
use crate::fields::Fields;
use ivyward_core::interface::{
    Endpoint, EndpointState, Event, ListKind, Micros, Outcome, Request, RequestId,
};

/// Size of an event record in bytes.
const EVENT_SIZE: usize = 56;
/// Size of an endpoint in an endpoint list, in bytes.
const ENDPOINT_SIZE: usize = 23;
/// Size of the batch header in bytes: length, clock and number of records.
const HEADER_SIZE: usize = 16;

/// One record of a batch.
pub(crate) enum Input {
    /// The following records concern the instance with this id.
    Target(u32),
    /// Create the instance with this seed and these settings, or replace it if it exists.
    Create { seed: u64, settings: String },
    /// Remove the instance.
    Stop,
    /// Pass the event to the router of the instance.
    Event(Event),
    /// A valid record that the router does not use.
    Ignored,
}

/// A decoded batch: the simulator's clock in microseconds and the records in order.
pub(crate) struct Batch {
    pub(crate) clock: Micros,
    pub(crate) inputs: Vec<Input>,
}

/// Decodes a batch. `body` is the frame without its length field.
pub(crate) fn decode(body: &[u8]) -> Result<Batch, FrameError> {
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
    let tail_at = tail_at.ok_or(FrameError::RecordsCutShort {
        count,
        at: body.len() + 4,
    })?;
    let (records, tail) = records.split_at(tail_at);
    let mut inputs = Vec::with_capacity(count);
    for (index, record) in records.chunks_exact(EVENT_SIZE).enumerate() {
        let input = decode_event(record, tail, HEADER_SIZE + index * EVENT_SIZE);
        inputs.push(input.map_err(|error| FrameError::Record {
            index,
            error: Box::new(error),
        })?);
    }
    Ok(Batch { clock, inputs })
}

/// Returns the part of the tail that the record refers to: an offset in bytes at `at` and, after it, a length in units of
/// `unit` bytes.
fn tail_part<'a>(
    fields: &Fields,
    tail: &'a [u8],
    at: usize,
    unit: usize,
) -> Result<&'a [u8], FrameError> {
    let (offset, length) = (fields.u32(at)? as usize, fields.u32(at + 4)? as usize);
    let end = length.checked_mul(unit).and_then(|n| n.checked_add(offset));
    end.and_then(|end| tail.get(offset..end))
        .ok_or(FrameError::OutsideTail {
            what: fields.what,
            offset,
            length,
        })
}

fn decode_event(record: &[u8], tail: &[u8], start: usize) -> Result<Input, FrameError> {
    let fields = |what| Fields {
        bytes: record,
        what,
        start,
    };
    let event = match record[0] {
        9 => return Ok(Input::Target(fields("TARGET_INSTANCE").u32(1)?)),
        3 => return decode_create(&fields("CREATE"), tail),
        1 => return Ok(Input::Stop),
        8 => return Ok(Input::Ignored),
        11 => decode_endpoint_list(&fields("UPDATE"), tail)?,
        10 => decode_request(&fields("KNOCK"))?,
        12 => decode_first_token(&fields("STREAMING"))?,
        2 => decode_reservation(&fields("HOLD_RESULT"))?,
        5 => decode_attempt_end(&fields("OUTCOME"))?,
        4 => Event::ClientDisconnected(RequestId(fields("CANCELLED_BY_CLIENT").u64(1)?)),
        7 => Event::Timer(fields("TIMEOUT_FIRED").u64(1)?),
        6 => decode_health_check(&fields("HEALTH_RESULT"))?,
        code => return Err(FrameError::UnknownEvent { code, at: start }),
    };
    Ok(Input::Event(event))
}

fn decode_create(fields: &Fields, tail: &[u8]) -> Result<Input, FrameError> {
    let text = tail_part(fields, tail, 9, 1)?.to_vec();
    let settings = String::from_utf8(text).map_err(|_| FrameError::SettingsNotText)?;
    Ok(Input::Create {
        seed: fields.u64(1)?,
        settings,
    })
}

fn decode_request(fields: &Fields) -> Result<Event, FrameError> {
    let options = fields.u16(51)?;
    Ok(Event::Request(Request {
        id: RequestId(fields.u64(1)?),
        class: usize::from(fields.u16(9)?),
        tenant: fields.u32(11)? as usize,
        session: fields.u64(15)?,
        client_timeout: u64::from(fields.u32(23)?),
        // The hint is a duration. The caller converts it into tokens by the class's time per token.
        hinted_output: (options & 1 != 0).then_some(f64::from(fields.u32(27)?)),
        prefix: fields.u64(31)?,
        prompt_tokens: fields.tokens(39)?,
        prefix_tokens: fields.tokens(43)?,
        max_output: fields.tokens(47)?,
        is_retry: options & 2 != 0,
        is_resumed: options & 16 != 0,
    }))
}

fn decode_first_token(fields: &Fields) -> Result<Event, FrameError> {
    Ok(Event::FirstToken {
        request: RequestId(fields.u64(1)?),
        attempt: fields.u16(9)?,
    })
}

fn decode_reservation(fields: &Fields) -> Result<Event, FrameError> {
    Ok(Event::ReservationResult {
        request: RequestId(fields.u64(1)?),
        endpoint: fields.endpoint(14)?,
        reserved: fields.u8(13)? == 1,
    })
}

fn decode_attempt_end(fields: &Fields) -> Result<Event, FrameError> {
    // The number of cached tokens or, if the outcome is a rejection, its reason: 1 is a KV cache miss.
    let detail = fields.u32(14)?;
    let outcome = match fields.u8(26)? {
        10 => Outcome::Served,
        20 => Outcome::Error,
        30 if detail == 1 => Outcome::KvCacheMiss,
        30 => Outcome::Rejected,
        40 => Outcome::TimedOut,
        50 => Outcome::ConnectFailed,
        60 => Outcome::Reset,
        70 => Outcome::Cancelled,
        80 => Outcome::NotSent,
        202 => Outcome::Prefilled,
        value => {
            return Err(FrameError::UnknownOutcome {
                value,
                at: fields.start + 26,
            })
        }
    };
    Ok(Event::AttemptEnded {
        request: RequestId(fields.u64(1)?),
        attempt: fields.u16(24)?,
        outcome,
        cached_tokens: detail,
        finished: fields.u8(9)? != 0,
        report: fields.report(27)?,
    })
}

fn decode_health_check(fields: &Fields) -> Result<Event, FrameError> {
    Ok(Event::HealthCheckResult {
        endpoint: fields.endpoint(6)?,
        alive: fields.u8(5)? == 10,
        report: fields.report(12)?,
    })
}

fn decode_endpoint_list(fields: &Fields, tail: &[u8]) -> Result<Event, FrameError> {
    let kind = match fields.u8(5)? {
        0 => ListKind::Changes,
        1 => ListKind::Full,
        2 => ListKind::Cached,
        3 => ListKind::Failed,
        value => {
            return Err(FrameError::UnknownListKind {
                value,
                at: fields.start + 5,
            })
        }
    };
    let entries = tail_part(fields, tail, 6, ENDPOINT_SIZE)?;
    let endpoints = entries
        .chunks_exact(ENDPOINT_SIZE)
        .map(decode_endpoint)
        .collect::<Result<_, _>>()?;
    Ok(Event::EndpointList { kind, endpoints })
}

fn decode_endpoint(entry: &[u8]) -> Result<Endpoint, FrameError> {
    let fields = Fields {
        bytes: entry,
        what: "UPDATE entry",
        start: 0,
    };
    let state = match fields.u8(10)? {
        0 => EndpointState::Removed,
        1 => EndpointState::Ready,
        2 => EndpointState::Draining,
        value => return Err(FrameError::UnknownEndpointState { value }),
    };
    Ok(Endpoint {
        id: fields.endpoint(0)?,
        zone: fields.u8(6)?,
        machine_type: fields.u8(7)?,
        rack: fields.u16(8)?,
        state,
        weight: f64::from(fields.f32(11)?),
        started_at: fields.u64(15)?,
    })
}
