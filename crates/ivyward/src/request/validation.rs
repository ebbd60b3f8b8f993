//! Checks a client's request, and derives from it the request that the router sees.

use crate::context::NodeContext;
use crate::memory_budget::BudgetShare;
use crate::request::grpc::GrpcCall;
use crate::request::messages::AcceptedRequest;
use crate::response::TokenBuffer;
use crate::settings::{Class, NodeSettings};
use ivyward_core::interface::{Idempotency, Micros, Request, RequestId};
use ivyward_core::mutations::{self, Mutation};
use ivyward_proto::front::GenerateRequest;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Why a request is invalid. The client receives the text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum InvalidRequest {
    #[error("{field} {name:?} is none of: {}", known.join(", "))]
    UnknownName {
        field: &'static str,
        name: String,
        known: Vec<String>,
    },
    #[error("a prompt of {length} tokens; 1 to {max} are taken")]
    PromptLength { length: usize, max: usize },
    #[error("max_output_tokens {value} must be from 1 to {max}")]
    MaxOutput { value: usize, max: usize },
    #[error("shared_opening_tokens {prefix} is over the prompt's {length}")]
    PrefixLength { prefix: usize, length: usize },
    #[error("class {class:?} needs an idempotency_key")]
    MissingIdempotencyKey { class: String },
}

/// The deadlines of a request, as times of the node's clock.
struct Deadlines {
    first_token: Micros,
    response: Option<Micros>,
}

/// Checks a request and assigns it an id. `client_timeout` is how long the client waits for the whole response; `None` if the
/// client set no timeout.
///
/// # Errors
/// [`InvalidRequest`] if the request is invalid; it gets no id.
pub(crate) fn accept(
    context: &NodeContext,
    request: GenerateRequest,
    client_timeout: Option<Micros>,
    buffer: Arc<TokenBuffer>,
) -> Result<AcceptedRequest, InvalidRequest> {
    let settings = &context.settings;
    let class = find_class(settings, &request.class)?;
    let tenant = find_tenant(settings, &request.tenant)?;
    check_lengths(settings, &request)?;
    let class_settings = &settings.classes[class];
    check_idempotency_key(class_settings, &request)?;
    let deadlines = deadlines(context, class_settings, &request, client_timeout);
    let id = context.next_request_id.fetch_add(1, Ordering::Relaxed);
    let routed = Request {
        id: RequestId(id),
        class,
        tenant,
        session: session_key(&request),
        prefix: prefix_key(&request),
        client_timeout: 0,
        prompt_tokens: request.prompt.len() as f64,
        prefix_tokens: f64::from(request.shared_opening_tokens),
        max_output: f64::from(request.max_output_tokens),
        hinted_output: (request.expected_output_tokens > 0)
            .then(|| f64::from(request.expected_output_tokens)),
        is_retry: request.repeat,
        is_resumed: request.resumed,
    };
    let mut memory = BudgetShare::new(&context.prompt_memory);
    memory.resize(request.prompt.capacity() * size_of::<u32>());
    let call = GrpcCall {
        request: routed,
        prompt: Arc::new(request.prompt),
        class: class_settings.name.clone(),
        call_id: request.call_id,
        idempotency_key: request.idempotency_key,
        buffer,
        _memory: memory,
    };
    Ok(AcceptedRequest {
        request: routed,
        first_token_deadline: deadlines.first_token,
        response_deadline: deadlines.response,
        call: Arc::new(call),
    })
}

fn find_class(settings: &NodeSettings, name: &str) -> Result<usize, InvalidRequest> {
    let names = settings.classes.iter().map(|class| class.name.as_str());
    find_name("class", name, names)
}

/// Returns the index of a tenant. If the settings have no tenants, every name is tenant 0.
fn find_tenant(settings: &NodeSettings, name: &str) -> Result<usize, InvalidRequest> {
    if settings.tenants.is_empty() {
        return Ok(0);
    }
    let names = settings.tenants.iter().map(|tenant| tenant.name.as_str());
    find_name("tenant", name, names)
}

/// Returns the index of a name; an empty name means the first one.
fn find_name<'a>(
    field: &'static str,
    name: &str,
    known: impl Iterator<Item = &'a str> + Clone,
) -> Result<usize, InvalidRequest> {
    let found = known.clone().position(|candidate| candidate == name);
    found
        .or(name.is_empty().then_some(0))
        .ok_or_else(|| InvalidRequest::UnknownName {
            field,
            name: name.to_owned(),
            known: known.map(str::to_owned).collect(),
        })
}

fn check_lengths(settings: &NodeSettings, request: &GenerateRequest) -> Result<(), InvalidRequest> {
    let (length, max) = (request.prompt.len(), settings.max_prompt_tokens);
    if !(1..=max).contains(&length) {
        return Err(InvalidRequest::PromptLength { length, max });
    }
    let (value, max) = (
        request.max_output_tokens as usize,
        settings.max_output_tokens,
    );
    if !(1..=max).contains(&value) {
        return Err(InvalidRequest::MaxOutput { value, max });
    }
    let prefix = request.shared_opening_tokens as usize;
    if prefix > length {
        return Err(InvalidRequest::PrefixLength { prefix, length });
    }
    Ok(())
}

fn check_idempotency_key(class: &Class, request: &GenerateRequest) -> Result<(), InvalidRequest> {
    let needed = class.settings.idempotency == Idempotency::WithKey;
    if needed && request.idempotency_key.is_empty() {
        return Err(InvalidRequest::MissingIdempotencyKey {
            class: class.name.clone(),
        });
    }
    Ok(())
}

/// Returns the key of the shared prefix; 0 if there is none.
fn prefix_key(request: &GenerateRequest) -> u64 {
    let tokens = request.shared_opening_tokens as usize;
    if tokens == 0 {
        return 0;
    }
    let bytes: Vec<u8> = request.prompt[..tokens]
        .iter()
        .flat_map(|token| token.to_le_bytes())
        .collect();
    xxh3_64(&bytes).max(1)
}

/// Returns the key of the session; 0 if there is none.
fn session_key(request: &GenerateRequest) -> u64 {
    if request.session.is_empty() {
        return 0;
    }
    xxh3_64(request.session.as_bytes()).max(1)
}

/// Computes a request's deadlines. Each lies one answer margin before the time at which the client stops waiting.
fn deadlines(
    context: &NodeContext,
    class: &Class,
    request: &GenerateRequest,
    client_timeout: Option<Micros>,
) -> Deadlines {
    let margin = context.settings.answer_margin;
    let late = if mutations::is_active(Mutation::LateTimeoutStart) {
        2 * margin
    } else {
        0
    };
    let now = context.runtime.now() + late;
    let first_token_timeout = match request.first_token_patience_ms {
        0 => client_timeout.unwrap_or(class.settings.deadline),
        ms => (u64::from(ms) * 1_000).min(client_timeout.unwrap_or(Micros::MAX)),
    };
    let deadline = |timeout: Micros| now.saturating_add(timeout).saturating_sub(margin);
    Deadlines {
        first_token: deadline(first_token_timeout),
        response: client_timeout.map(deadline),
    }
}

#[cfg(test)]
mod tests;
