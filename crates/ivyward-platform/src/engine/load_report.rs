//! Parses the load reports of engines.

use ivyward::core::interface::LoadReport;

/// The limit on the values of a report; further fields are ignored.
const MAX_VALUES: usize = 4;

/// Returns the alternative name that engines may use on the wire for a report field of the settings; empty if there is none.
fn wire_name(field: &str) -> &'static str {
    match field {
        "outstanding" => "inflight",
        "backlog" => "queue",
        "utilization" => "util",
        "recent_ms" => "latency_ms",
        "throughput" => "qps",
        "errors_per_s" => "eps",
        _ => "",
    }
}

/// Parses a load report such as `TEXT inflight=7, queue=2, util=0.61` into the values of `fields`, in their order. Returns
/// an empty report if any value is missing or malformed.
pub(super) fn parse(text: &str, fields: &[String]) -> LoadReport {
    let text = text.trim();
    let text = text.strip_prefix("TEXT").unwrap_or(text);
    let pairs: Vec<(&str, &str)> = text
        .split(',')
        .filter_map(|pair| pair.trim().split_once('='))
        .collect();
    let mut report = LoadReport {
        len: fields.len().min(MAX_VALUES),
        ..LoadReport::default()
    };
    for (value, field) in report.values.iter_mut().zip(fields) {
        let pair = pairs
            .iter()
            .find(|(key, _)| key.trim() == field || key.trim() == wire_name(field));
        let parsed = pair.and_then(|(_, text)| text.trim().parse::<f32>().ok());
        match parsed.filter(|number| number.is_finite()) {
            Some(number) => *value = number,
            None => return LoadReport::default(),
        }
    }
    report
}

#[cfg(test)]
mod tests;
