//! What a request's headers say.

use super::connection::RequestError;
use super::Server;
use crate::call::IDEMPOTENCY_KEY;
use ivyward::core::interface::Request;
use ivyward_http1::Request as HttpRequest;
use xxhash_rust::xxh3::xxh3_64;

/// Longest request id.
const MOST_ID: usize = 128;

impl Server {
    /// What a request's headers say, checked.
    pub(super) fn arrival(
        &self,
        request: &HttpRequest,
        length: usize,
    ) -> Result<(String, Request), RequestError> {
        let bad = |text: String| RequestError::new(400, text);
        let head = &request.head;
        let need = |name: &str| {
            head.text(name)
                .ok_or_else(|| bad(format!("{name} is missing")))
        };
        let id = need("x-request-id")?;
        if id.is_empty()
            || id.len() > MOST_ID
            || !id.bytes().all(|b| b.is_ascii_graphic() && b != b'/')
        {
            return Err(bad(format!(
                "x-request-id must be 1 to {MOST_ID} visible letters"
            )));
        }
        let place = |what: &str, names: &[String], name: &str| {
            ivyward_settings::place(names, name)
                .ok_or_else(|| bad(format!("{what} {name:?} is not known")))
        };
        // Its engines would take a repeat for something new.
        if head.get(IDEMPOTENCY_KEY).is_some()
            && head.text(IDEMPOTENCY_KEY).is_none_or(str::is_empty)
        {
            return Err(bad(format!("{IDEMPOTENCY_KEY} must be visible letters")));
        }
        let class = place("class", &self.told.classes, need("x-priority-class")?)?;
        let tenant = match self.told.tenants.is_empty() {
            true => 0,
            false => place("tenant", &self.told.tenants, need("x-tenant-id")?)?,
        };
        let timeout = need("x-timeout-ms")?;
        let client_timeout = timeout
            .parse::<u64>()
            .ok()
            .filter(|ms| *ms > 0 && !timeout.starts_with('+'));
        let client_timeout = client_timeout
            .ok_or_else(|| bad(format!("x-timeout-ms {timeout:?} must be over 0")))?;
        // Nobody waits longer than the class's clients do.
        let longest = self.told.module.classes[class].deadline;
        let client_timeout = client_timeout.saturating_mul(1_000).min(longest);
        // A token is four characters, so a body holds no more tokens than bytes.
        let most = length as f64;
        let attrs = head.text("x-attrs").unwrap_or("");
        let attr = |name: &str| {
            attrs
                .split(',')
                .find_map(|a| a.trim().strip_prefix(name)?.strip_prefix('='))
        };
        let number = |name: &str, most: f64| match attr(name) {
            None => Ok(None),
            Some(text) => match text.parse::<f64>() {
                Ok(n) if (0.0..=most).contains(&n) => Ok(Some(n)),
                _ => Err(bad(format!(
                    "x-attrs: {name}={text} must be from 0 to {most}"
                ))),
            },
        };
        let prompt_tokens = number("prompt_len", most)?.unwrap_or(most / 4.0);
        let key = |text: Option<&str>| {
            text.filter(|t| !t.is_empty())
                .map_or(0, |t| xxh3_64(t.as_bytes()).max(1))
        };
        let arrival = Request {
            class,
            tenant,
            session: key(head.text("x-route-key")),
            prefix: key(attr("prefix")),
            client_timeout,
            prompt_tokens,
            prefix_tokens: number("prefix_len", most)?
                .unwrap_or(0.0)
                .min(prompt_tokens),
            max_output: number("max_out", 1e7)?.unwrap_or(0.0),
            is_retry: head.text("x-retried") == Some("1"),
            is_resumed: head.text("x-retried") == Some("again"),
            ..Request::default()
        };
        Ok((id.to_owned(), arrival))
    }
}
