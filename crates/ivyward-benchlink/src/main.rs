//! Lets the bench drive the decision module: batches on standard input, replies on standard output.

mod codec;

use codec::{Input, Reply};
use ivyward_core::interface::{Action, Event, Settings};
use ivyward_core::router::Router;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;

struct Instance {
    router: Router,
    settings: Settings,
}

/// Reads one frame; `None` at a clean end of the input.
fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, String> {
    let mut head = [0u8; 4];
    let mut got = 0;
    while got < 4 {
        match input.read(&mut head[got..]) {
            Ok(0) if got == 0 => return Ok(None),
            Ok(0) => return Err(format!("batch header cut short at byte {got}")),
            Ok(n) => got += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("cannot read: {e}")),
        }
    }
    let length = u64::from(u32::from_le_bytes(head)) + 12;
    let mut body = Vec::new();
    let read = input
        .by_ref()
        .take(length)
        .read_to_end(&mut body)
        .map_err(|e| format!("cannot read: {e}"))?;
    if (read as u64) < length {
        return Err(format!(
            "batch of {} bytes cut short at byte {}",
            length + 4,
            read + 4
        ));
    }
    Ok(Some(body))
}

/// Turns a hint of the answer's length, given as time at the class's pace, into tokens.
fn hint_in_tokens(event: &mut Event, settings: &Settings) {
    if let Event::Request(arrival) = event {
        let pace = settings
            .classes
            .get(arrival.class)
            .map_or(0.0, |c| c.tpot_objective);
        let hint = arrival
            .hinted_output
            .filter(|time| *time > 0.0 && pace > 0.0);
        arrival.hinted_output = hint.map(|time| time / pace);
    }
}

fn answer(body: &[u8], instances: &mut BTreeMap<u32, Instance>) -> Result<Vec<u8>, String> {
    let batch = codec::decode(body)?;
    let mut reply = Reply::default();
    let mut target = None;
    let mut actions: Vec<Action> = Vec::new();
    for input in batch.inputs {
        if let Input::Target(who) = input {
            target = Some(who);
            continue;
        }
        let who = target.ok_or("an event comes before any TARGET_INSTANCE")?;
        match input {
            Input::Create { seed, env } => {
                let settings = ivyward_settings::parse(&env)?;
                let router = Router::new(settings.clone(), seed);
                instances.insert(who, Instance { router, settings });
            }
            Input::Stop => {
                instances.remove(&who);
            }
            Input::Event(mut event) => {
                let instance = instances.get_mut(&who);
                let instance = instance
                    .ok_or_else(|| format!("an event for instance {who}, which was not created"))?;
                hint_in_tokens(&mut event, &instance.settings);
                let handled = catch_unwind(AssertUnwindSafe(|| {
                    instance.router.handle(batch.clock, event, &mut actions);
                }));
                if let Err(panic) = handled {
                    let text = panic.downcast_ref::<String>().map(String::as_str);
                    let text = text
                        .or(panic.downcast_ref::<&str>().copied())
                        .unwrap_or("panic");
                    reply.speak_for(who);
                    reply.die(text);
                    return Ok(reply.finish());
                }
                for action in actions.drain(..) {
                    reply.speak_for(who);
                    reply.push(&action);
                }
            }
            Input::Target(_) | Input::Nothing => {}
        }
    }
    Ok(reply.finish())
}

fn run() -> Result<(), String> {
    let mut input = std::io::stdin().lock();
    let mut output = std::io::stdout().lock();
    let mut instances = BTreeMap::new();
    while let Some(body) = read_frame(&mut input)? {
        let reply = answer(&body, &mut instances)?;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(|e| format!("cannot write: {e}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("ivyward-benchlink: {text}");
            ExitCode::FAILURE
        }
    }
}
