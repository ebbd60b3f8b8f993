//! Load reports as engines write them.

use ivyward::core::interface::LoadReport;

/// The values of a load report such as `TEXT inflight=7, queue=2, util=0.61`, in the order of the settings' fields. A
/// report that cannot be read whole is none.
pub(super) fn report(text: &str, fields: &[String]) -> LoadReport {
    // What the settings call a field, and what the wire calls it.
    let spoken = |field: &str| match field {
        "outstanding" => "inflight",
        "backlog" => "queue",
        "utilization" => "util",
        "recent_ms" => "latency_ms",
        "throughput" => "qps",
        "errors_per_s" => "eps",
        _ => "",
    };
    let text = text.trim();
    let text = text.strip_prefix("TEXT").unwrap_or(text);
    let pairs: Vec<(&str, &str)> = text
        .split(',')
        .filter_map(|p| p.trim().split_once('='))
        .collect();
    let mut report = LoadReport {
        len: fields.len().min(4),
        ..LoadReport::default()
    };
    for (value, field) in report.values.iter_mut().zip(fields) {
        let told = pairs
            .iter()
            .find(|(k, _)| k.trim() == field || k.trim() == spoken(field));
        match told
            .and_then(|(_, v)| v.trim().parse::<f32>().ok())
            .filter(|v| v.is_finite())
        {
            Some(told) => *value = told,
            None => return LoadReport::default(),
        }
    }
    report
}

#[cfg(test)]
mod tests;
