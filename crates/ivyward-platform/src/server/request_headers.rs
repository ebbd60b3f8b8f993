//! Parses the headers of a client's request for the router.

use super::connection::RequestError;
use super::Server;
use crate::call::IDEMPOTENCY_KEY;
use ivyward::core::interface::{Micros, Request as RouterRequest};
use ivyward_http1::RequestHead;
use xxhash_rust::xxh3::xxh3_64;

/// The maximum length of a request id, in bytes.
const MAX_ID_LENGTH: usize = 128;
/// The maximum of `max_out` in `x-attrs`: the number of output tokens that a client may request.
const MAX_OUTPUT_TOKENS: f64 = 1e7;
/// The assumed size of a prompt token in bytes, used if the client does not state the number of prompt tokens.
const BYTES_PER_TOKEN: f64 = 4.0;

fn bad_request(text: String) -> RequestError {
    RequestError::new(400, text)
}

/// Returns the value of a required header, or an error if it is absent.
fn required<'a>(request: &'a RequestHead, name: &str) -> Result<&'a str, RequestError> {
    let value = request.headers.text(name);
    value.ok_or_else(|| bad_request(format!("{name} is missing")))
}

/// Returns the index in `names` of a name in a header, or an error that starts with `kind`.
fn index_of(kind: &str, names: &[String], name: &str) -> Result<usize, RequestError> {
    ivyward_settings::index_of(names, name)
        .ok_or_else(|| bad_request(format!("{kind} {name:?} is not known")))
}

/// Returns the hash of a name, which is never 0; an absent or empty name yields 0.
fn hash_of(name: Option<&str>) -> u64 {
    name.filter(|name| !name.is_empty())
        .map_or(0, |name| xxh3_64(name.as_bytes()).max(1))
}

/// The attributes in `x-attrs`, written as `name=value,name=value`.
struct Attributes<'a>(&'a str);

impl<'a> Attributes<'a> {
    fn get(&self, name: &str) -> Option<&'a str> {
        self.0
            .split(',')
            .find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('='))
    }

    /// Parses a number from 0 to `max`. Returns `None` if the attribute is absent.
    fn number(&self, name: &str, max: f64) -> Result<Option<f64>, RequestError> {
        let Some(text) = self.get(name) else {
            return Ok(None);
        };
        match text.parse::<f64>() {
            Ok(number) if (0.0..=max).contains(&number) => Ok(Some(number)),
            _ => Err(bad_request(format!(
                "x-attrs: {name}={text} must be from 0 to {max}"
            ))),
        }
    }
}

impl Server {
    /// Parses and checks the headers of a request with a body of `length` bytes. Returns the request id, and the request as
    /// the router expects it.
    pub(super) fn parse_headers(
        &self,
        request: &RequestHead,
        length: usize,
    ) -> Result<(String, RouterRequest), RequestError> {
        let id = parse_id(request)?;
        check_idempotency_key(request)?;
        let class_name = required(request, "x-priority-class")?;
        let class = index_of("class", &self.deployment.classes, class_name)?;
        let tenant = self.parse_tenant(request)?;
        let client_timeout = self.parse_timeout(request, class)?;
        // A body holds no more tokens than bytes.
        let max_tokens = length as f64;
        let attributes = Attributes(request.headers.text("x-attrs").unwrap_or(""));
        let prompt_tokens = attributes
            .number("prompt_len", max_tokens)?
            .unwrap_or(max_tokens / BYTES_PER_TOKEN);
        let prefix_tokens = attributes.number("prefix_len", max_tokens)?;
        let max_output = attributes.number("max_out", MAX_OUTPUT_TOKENS)?;
        let retried = request.headers.text("x-retried");
        let router_request = RouterRequest {
            class,
            tenant,
            session: hash_of(request.headers.text("x-route-key")),
            prefix: hash_of(attributes.get("prefix")),
            client_timeout,
            prompt_tokens,
            prefix_tokens: prefix_tokens.unwrap_or(0.0).min(prompt_tokens),
            max_output: max_output.unwrap_or(0.0),
            is_retry: retried == Some("1"),
            is_resumed: retried == Some("again"),
            ..RouterRequest::default()
        };
        Ok((id, router_request))
    }

    fn parse_tenant(&self, request: &RequestHead) -> Result<usize, RequestError> {
        if self.deployment.tenants.is_empty() {
            return Ok(0);
        }
        let name = required(request, "x-tenant-id")?;
        index_of("tenant", &self.deployment.tenants, name)
    }

    /// Parses the client's timeout, and limits it to the deadline of the request's class.
    fn parse_timeout(&self, request: &RequestHead, class: usize) -> Result<Micros, RequestError> {
        let text = required(request, "x-timeout-ms")?;
        let timeout_ms = text
            .parse::<u64>()
            .ok()
            .filter(|ms| *ms > 0 && !text.starts_with('+'))
            .ok_or_else(|| bad_request(format!("x-timeout-ms {text:?} must be over 0")))?;
        let max_timeout = self.deployment.router.classes[class].deadline;
        Ok(timeout_ms.saturating_mul(1_000).min(max_timeout))
    }
}

fn parse_id(request: &RequestHead) -> Result<String, RequestError> {
    let id = required(request, "x-request-id")?;
    let is_valid = !id.is_empty()
        && id.len() <= MAX_ID_LENGTH
        && id
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && byte != b'/');
    match is_valid {
        true => Ok(id.to_owned()),
        false => Err(bad_request(format!(
            "x-request-id must be 1 to {MAX_ID_LENGTH} visible letters"
        ))),
    }
}

/// Rejects an idempotency key that cannot be forwarded: without it engines would treat a retry as a new request.
fn check_idempotency_key(request: &RequestHead) -> Result<(), RequestError> {
    let is_present = request.headers.get(IDEMPOTENCY_KEY).is_some();
    if is_present
        && request
            .headers
            .text(IDEMPOTENCY_KEY)
            .is_none_or(str::is_empty)
    {
        let text = format!("{IDEMPOTENCY_KEY} must be visible letters");
        return Err(bad_request(text));
    }
    Ok(())
}
