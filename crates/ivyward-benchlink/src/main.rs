//! Adapter through which a simulator drives the router: reads batches of events from standard input and writes one reply
//! with the resulting actions to standard output for each batch.
//!
//! - `decode`: decodes batches into events.
//! - `fields`: reads the fields of one record.
//! - `reply`: encodes actions as records.
//! - `error`: errors that end the adapter.

mod decode;
mod error;
mod fields;
mod reply;

use decode::Input;
use error::{AdapterError, FrameError};
use ivyward_core::interface::{Action, Event, Micros, Settings};
use ivyward_core::router::Router;
use reply::Reply;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;

/// One router that the simulator has created.
struct Instance {
    router: Router,
    settings: Settings,
}

/// Size in bytes of a batch header after its length field. The length field does not count these bytes.
const HEADER_REST_SIZE: u64 = 12;

/// Reads one frame and returns it without its length field. Returns `None` if the input ends before a frame begins.
fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, AdapterError> {
    let mut length_field = [0u8; 4];
    let mut filled = 0;
    while filled < length_field.len() {
        match input.read(&mut length_field[filled..]) {
            Ok(0) if filled == 0 => return Ok(None),
            Ok(0) => {
                let (what, at) = ("batch header", filled);
                return Err(FrameError::CutShort { what, at }.into());
            }
            Ok(n) => filled += n,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(AdapterError::Read(error)),
        }
    }
    let length = u64::from(u32::from_le_bytes(length_field)) + HEADER_REST_SIZE;
    let mut body = Vec::new();
    let read = input
        .by_ref()
        .take(length)
        .read_to_end(&mut body)
        .map_err(AdapterError::Read)?;
    if (read as u64) < length {
        let (length, at) = (length + 4, read + 4);
        return Err(FrameError::BatchCutShort { length, at }.into());
    }
    Ok(Some(body))
}

/// Converts the hinted output length of a request from a duration into tokens, by the class's objective for the time per
/// token. A hint is dropped if it or the objective is not over 0.
fn convert_output_hint(event: &mut Event, settings: &Settings) {
    let Event::Request(request) = event else {
        return;
    };
    let class = settings.classes.get(request.class);
    let time_per_token = class.map_or(0.0, |class| class.tpot_objective);
    let hint = request
        .hinted_output
        .filter(|time| *time > 0.0 && time_per_token > 0.0);
    request.hinted_output = hint.map(|time| time / time_per_token);
}

/// Passes one event to the router of an instance. Returns the panic message if the router panics.
fn handle_event(
    instance: &mut Instance,
    now: Micros,
    mut event: Event,
    actions: &mut Vec<Action>,
) -> Result<(), String> {
    convert_output_hint(&mut event, &instance.settings);
    let handled = catch_unwind(AssertUnwindSafe(|| {
        instance.router.handle(now, event, actions);
    }));
    handled.map_err(|panic| {
        let message = panic.downcast_ref::<String>().map(String::as_str);
        let message = message.or(panic.downcast_ref::<&str>().copied());
        message.unwrap_or("panic").to_owned()
    })
}

/// Processes one batch and returns the encoded reply. A panic of a router ends the batch; the reply then ends with the panic
/// message.
fn process_batch(
    body: &[u8],
    instances: &mut BTreeMap<u32, Instance>,
) -> Result<Vec<u8>, AdapterError> {
    let batch = decode::decode(body)?;
    let mut reply = Reply::default();
    let mut target = None;
    let mut actions: Vec<Action> = Vec::new();
    for input in batch.inputs {
        if let Input::Target(id) = input {
            target = Some(id);
            continue;
        }
        let id = target.ok_or(AdapterError::NoTarget)?;
        match input {
            Input::Create { seed, settings } => {
                let settings = ivyward_settings::parse(&settings)?;
                let router = Router::new(settings.clone(), seed);
                instances.insert(id, Instance { router, settings });
            }
            Input::Stop => {
                instances.remove(&id);
            }
            Input::Event(event) => {
                let instance = instances.get_mut(&id);
                let instance = instance.ok_or(AdapterError::UnknownInstance(id))?;
                if let Err(message) = handle_event(instance, batch.clock, event, &mut actions) {
                    reply.begin_instance(id);
                    reply.panicked(&message);
                    return Ok(reply.finish());
                }
                for action in actions.drain(..) {
                    reply.begin_instance(id);
                    reply.push(&action);
                }
            }
            Input::Target(_) | Input::Ignored => {}
        }
    }
    Ok(reply.finish())
}

fn run() -> Result<(), AdapterError> {
    let mut input = std::io::stdin().lock();
    let mut output = std::io::stdout().lock();
    let mut instances = BTreeMap::new();
    while let Some(body) = read_frame(&mut input)? {
        let reply = process_batch(&body, &mut instances)?;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(AdapterError::Write)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ivyward-benchlink: {error}");
            ExitCode::FAILURE
        }
    }
}
