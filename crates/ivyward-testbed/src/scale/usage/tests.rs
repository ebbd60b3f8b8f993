//! Tests of reading and computing the resource use of processes.

use super::*;

const METRICS: &str = "\
ivyward_requests_total 7
ivyward_driver_busy_us_total 500
ivyward_module_us_total 200
ivyward_traffic_bytes_total{part=\"engines\",way=\"in\"} 34
ivyward_traffic_bytes_total{part=\"engines\",way=\"out\"} 17
ivyward_traffic_messages_total{part=\"engines\",way=\"out\"} 1
ivyward_traffic_busy_us_total{part=\"engines\"} 40
ivyward_connections{part=\"engines\"} 1
";

#[test]
fn counters_of_a_node_are_parsed_by_part() {
    let counters = counters(METRICS);
    let engines = counters["engines"];
    assert_eq!(
        (
            engines.bytes_in,
            engines.bytes_out,
            engines.messages_out,
            engines.busy_us
        ),
        (34, 17, 1, 40)
    );
    assert_eq!(
        (counters["driver"].busy_us, counters["module"].busy_us),
        (300, 200)
    );
    assert_eq!(counters.len(), 3);
}

#[test]
fn rates_are_differences_per_second_and_the_mean_is_taken_for_each_figure() {
    let before = Reading {
        counters: counters(METRICS),
        ..Reading::default()
    };
    let mut after = before.clone();
    after.counters.get_mut("engines").unwrap().bytes_out += 40;
    after.proc.processor = 0.5;
    let rates = after.since(&before, 2.0);
    assert_eq!(
        (rates.core_percent, rates.parts["engines"].bytes_out),
        (25.0, 20.0)
    );
    assert_eq!(rates.parts["driver"].busy_percent, 0.0);
    let mean = Rates::mean(&[rates.clone(), Rates::default()]);
    assert_eq!(
        (mean.core_percent, mean.parts["engines"].bytes_out),
        (12.5, 10.0)
    );
    assert_eq!(Rates::mean(std::slice::from_ref(&rates)), rates);
}

#[test]
fn figures_of_the_test_process_are_read_from_proc() {
    let proc = Proc::read(std::process::id()).unwrap();
    assert!(proc.resident_kib > 100 && proc.descriptors >= 3);
    assert!(Proc::read(u32::MAX).is_err());
}
