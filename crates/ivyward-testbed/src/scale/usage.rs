//! Resource use of a process, from /proc and from the counters that the process reports.

use crate::scale::ScaleError;
use ivyward_runtime::Usage as Traffic;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Clock ticks per second in /proc/PID/stat (USER_HZ), which is 100 for every program on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Resource use of a process according to /proc.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Proc {
    /// Processor time since the start of the process, user and system, in seconds.
    pub processor: f64,
    /// Resident memory in KiB.
    pub resident_kib: u64,
    /// Number of open file descriptors.
    pub descriptors: u64,
}

impl Proc {
    /// Reads the figures of a process from /proc.
    ///
    /// # Errors
    /// When the process has ended, or its files in /proc cannot be read or parsed.
    pub fn read(pid: u32) -> Result<Proc, ScaleError> {
        let path = |file: &str| format!("/proc/{pid}/{file}");
        let text =
            |file: &str| std::fs::read_to_string(path(file)).map_err(ScaleError::io(path(file)));
        let malformed =
            || ScaleError::Process(format!("malformed process status in {}", path("stat")));
        let stat = text("stat")?;
        // The program's name stands in parentheses and may contain any character, also spaces and parentheses.
        let (_, fields) = stat.rsplit_once(')').ok_or_else(malformed)?;
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let ticks = |i: usize| {
            fields
                .get(i)
                .and_then(|f| f.parse::<f64>().ok())
                .ok_or_else(malformed)
        };
        let status = text("status")?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident = resident
            .and_then(|r| r.split_whitespace().next())
            .and_then(|r| r.parse().ok());
        let descriptors = std::fs::read_dir(path("fd"))
            .map_err(ScaleError::io(path("fd")))?
            .count();
        Ok(Proc {
            // utime and stime: the 14th and 15th fields of the line, the 12th and 13th after the program's name.
            processor: (ticks(11)? + ticks(12)?) / TICKS_PER_SECOND,
            resident_kib: resident.unwrap_or(0),
            descriptors: descriptors as u64,
        })
    }
}

/// Traffic and time counters of one part of a program, such as its connections to engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PartCounters {
    /// Bytes received.
    pub bytes_in: u64,
    /// Bytes sent.
    pub bytes_out: u64,
    /// Messages received: reads that returned data.
    pub messages_in: u64,
    /// Messages sent: writes that accepted data.
    pub messages_out: u64,
    /// Time spent executing, in microseconds.
    pub busy_us: u64,
}

impl From<Traffic> for PartCounters {
    fn from(traffic: Traffic) -> PartCounters {
        PartCounters {
            bytes_in: traffic.bytes_in,
            bytes_out: traffic.bytes_out,
            messages_in: traffic.reads,
            messages_out: traffic.writes,
            busy_us: traffic.busy,
        }
    }
}

/// Counters of a process, by name of the part of its program.
pub type Counters = BTreeMap<String, PartCounters>;

/// Parses the counters from the metrics page of a node's admin port.
pub fn counters(metrics: &str) -> Counters {
    let mut counters = Counters::new();
    for line in metrics.lines() {
        let Some((name, value)) = line.rsplit_once(' ') else {
            continue;
        };
        let Ok(value) = value.parse::<u64>() else {
            continue;
        };
        match name {
            "ivyward_driver_busy_us_total" => {
                counters.entry("driver".into()).or_default().busy_us = value
            }
            "ivyward_module_us_total" => {
                counters.entry("module".into()).or_default().busy_us = value
            }
            _ => traffic(&mut counters, name, value),
        }
    }
    // The driver's time includes the time of the module, which is reported separately.
    let module = counters.get("module").map_or(0, |m| m.busy_us);
    if let Some(driver) = counters.get_mut("driver") {
        driver.busy_us = driver.busy_us.saturating_sub(module);
    }
    counters
}

fn traffic(counters: &mut Counters, name: &str, value: u64) {
    let Some((kind, labels)) = name
        .strip_prefix("ivyward_traffic_")
        .and_then(|n| n.split_once('{'))
    else {
        return;
    };
    let label = |key: &str| {
        labels
            .split_once(&format!("{key}=\""))
            .and_then(|l| l.1.split('"').next())
    };
    let Some(part) = label("part") else { return };
    let counted = counters.entry(part.to_owned()).or_default();
    match (kind, label("way")) {
        ("bytes_total", Some("in")) => counted.bytes_in = value,
        ("bytes_total", Some("out")) => counted.bytes_out = value,
        ("messages_total", Some("in")) => counted.messages_in = value,
        ("messages_total", Some("out")) => counted.messages_out = value,
        ("busy_us_total", _) => counted.busy_us = value,
        _ => {}
    }
}

/// Resource use of a process over an interval; amounts are per second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rates {
    /// Processor time, in percent of a core.
    pub core_percent: f64,
    /// Resident memory at the end of the interval, in KiB.
    pub resident_kib: f64,
    /// Open file descriptors at the end of the interval.
    pub descriptors: f64,
    /// Traffic and processor time, by name of the part of the program.
    pub parts: BTreeMap<String, PartRates>,
}

/// Resource use of a part of a program over an interval; amounts are per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PartRates {
    /// Bytes received per second.
    pub bytes_in: f64,
    /// Bytes sent per second.
    pub bytes_out: f64,
    /// Messages received per second.
    pub messages_in: f64,
    /// Messages sent per second.
    pub messages_out: f64,
    /// Time spent executing, in percent of the interval, by the wall clock.
    pub busy_percent: f64,
}

/// The resource use of a process up to one point in time.
#[derive(Clone, Debug, Default)]
pub struct Reading {
    /// Figures from /proc.
    pub proc: Proc,
    /// Counters that the process reports.
    pub counters: Counters,
}

impl Reading {
    /// Resource use between the reading `before` and this one, which was taken `seconds` later.
    pub fn since(&self, before: &Reading, seconds: f64) -> Rates {
        let part = |(name, now): (&String, &PartCounters)| {
            let before = before.counters.get(name).copied().unwrap_or_default();
            let rate = |now: u64, before: u64| now.saturating_sub(before) as f64 / seconds;
            let rates = PartRates {
                bytes_in: rate(now.bytes_in, before.bytes_in),
                bytes_out: rate(now.bytes_out, before.bytes_out),
                messages_in: rate(now.messages_in, before.messages_in),
                messages_out: rate(now.messages_out, before.messages_out),
                busy_percent: rate(now.busy_us, before.busy_us) / 1e4,
            };
            (name.clone(), rates)
        };
        Rates {
            core_percent: (self.proc.processor - before.proc.processor) / seconds * 100.0,
            resident_kib: self.proc.resident_kib as f64,
            descriptors: self.proc.descriptors as f64,
            parts: self.counters.iter().map(part).collect(),
        }
    }
}

impl Rates {
    /// Mean over several processes of one role.
    pub fn mean(each: &[Rates]) -> Rates {
        let count = each.len().max(1) as f64;
        let mut figures: BTreeMap<String, f64> = BTreeMap::new();
        for rates in each {
            for (name, value) in rates.figures() {
                *figures.entry(name).or_default() += value / count;
            }
        }
        Rates::from_figures(&figures)
    }

    /// All figures by name. The names of a part's figures have the form `part.figure`.
    pub fn figures(&self) -> BTreeMap<String, f64> {
        let mut figures = BTreeMap::from([
            ("core_percent".to_owned(), self.core_percent),
            ("resident_kib".to_owned(), self.resident_kib),
            ("descriptors".to_owned(), self.descriptors),
        ]);
        for (part, rates) in &self.parts {
            let of_part = [
                ("bytes_in", rates.bytes_in),
                ("bytes_out", rates.bytes_out),
                ("messages_in", rates.messages_in),
                ("messages_out", rates.messages_out),
                ("busy_percent", rates.busy_percent),
            ];
            figures.extend(of_part.map(|(name, value)| (format!("{part}.{name}"), value)));
        }
        figures
    }

    fn from_figures(figures: &BTreeMap<String, f64>) -> Rates {
        let mut rates = Rates::default();
        for (name, value) in figures {
            let Some((part, figure)) = name.split_once('.') else {
                match name.as_str() {
                    "core_percent" => rates.core_percent = *value,
                    "resident_kib" => rates.resident_kib = *value,
                    _ => rates.descriptors = *value,
                }
                continue;
            };
            let of_part = rates.parts.entry(part.to_owned()).or_default();
            match figure {
                "bytes_in" => of_part.bytes_in = *value,
                "bytes_out" => of_part.bytes_out = *value,
                "messages_in" => of_part.messages_in = *value,
                "messages_out" => of_part.messages_out = *value,
                _ => of_part.busy_percent = *value,
            }
        }
        rates
    }
}

#[cfg(test)]
mod tests;
