//! Draws resource use over size for each role, as SVG.

use crate::capacity::measurements::Measurements;
use crate::capacity::model::fit;
use crate::capacity::target::{budget, Target};
use crate::capacity::CapacityError;
use crate::scale::sweep::Quantity;
use plotters::prelude::*;

/// Width and height of the image, in pixels.
const SIZE: (u32, u32) = (1_080, 620);

/// One diagram of the chart: a figure of a role over a quantity.
struct Panel {
    title: &'static str,
    role: &'static str,
    figure: &'static str,
    quantity: Quantity,
    /// Divisor that converts the figure to the unit of the panel.
    scale: f64,
    /// Largest size for which the line is drawn.
    max_size: f64,
    budget: Option<f64>,
}

fn panels(target: &Target) -> [Panel; 6] {
    let panel = |title, role, figure, quantity, scale, max_size| Panel {
        title,
        role,
        figure,
        quantity,
        scale,
        max_size,
        budget: None,
    };
    let engines = target.engines;
    [
        Panel {
            budget: Some(budget::CORE_PERCENT),
            ..panel(
                "node: % of a core, by connections",
                "node",
                "core_percent",
                Quantity::Connections,
                1.0,
                engines,
            )
        },
        panel(
            "node: MiB, by connections",
            "node",
            "resident_kib",
            Quantity::Connections,
            1_024.0,
            engines,
        ),
        panel(
            "node: kB/s of peers out, by nodes",
            "node",
            "peers.bytes_out",
            Quantity::Nodes,
            1_000.0,
            target.nodes,
        ),
        panel(
            "node with requests: % of a core, by requests a second",
            "real",
            "core_percent",
            Quantity::Requests,
            1.0,
            15.0,
        ),
        panel(
            "engines: MiB of their process, by connections",
            "engines",
            "resident_kib",
            Quantity::Connections,
            1_024.0,
            engines,
        ),
        panel(
            "store: % of a core, by engines",
            "store",
            "core_percent",
            Quantity::Engines,
            1.0,
            engines,
        ),
    ]
}

/// Draws all panels and returns the SVG text.
///
/// # Errors
/// When the results lack a figure, or the chart cannot be drawn.
pub fn svg(measurements: &Measurements, target: &Target) -> Result<String, CapacityError> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        area.fill(&WHITE)
            .map_err(|e| CapacityError::Chart(e.to_string()))?;
        for (panel, part) in panels(target).iter().zip(area.split_evenly((2, 3))) {
            draw(measurements, panel, &part)?;
        }
        area.present()
            .map_err(|e| CapacityError::Chart(e.to_string()))?;
    }
    Ok(text)
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw(measurements: &Measurements, panel: &Panel, area: &Area<'_>) -> Result<(), CapacityError> {
    let error = |e: &dyn std::fmt::Display| CapacityError::Chart(e.to_string());
    let (sweep, line) = fit(measurements, panel.quantity, panel.role, panel.figure)?;
    let mut points = Vec::new();
    for point in &sweep.points {
        let figures = point
            .roles
            .get(panel.role)
            .map(|rates| rates.figures())
            .unwrap_or_default();
        if let Some(value) = figures.get(panel.figure) {
            points.push((point.value as f64, value / panel.scale, point.left_out));
        }
    }
    let at = |size: f64| line.at(size) / panel.scale;
    let max_x = points.iter().map(|p| p.0).fold(panel.max_size, f64::max);
    let max_y = points
        .iter()
        .map(|p| p.1)
        .fold(at(max_x), f64::max)
        .max(panel.budget.unwrap_or(0.0));
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .caption(panel.title, ("sans-serif", 14))
        .x_label_area_size(24)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..max_x * 1.05, 0.0..max_y * 1.15)
        .map_err(|e| error(&e))?;
    chart
        .configure_mesh()
        .x_labels(5)
        .y_labels(5)
        .light_line_style(WHITE)
        .draw()
        .map_err(|e| error(&e))?;
    let fitted = LineSeries::new([(0.0, at(0.0).max(0.0)), (max_x, at(max_x))], &BLUE);
    chart.draw_series(fitted).map_err(|e| error(&e))?;
    if let Some(budget) = panel.budget {
        let limit = LineSeries::new([(0.0, budget), (max_x, budget)], &RED);
        chart.draw_series(limit).map_err(|e| error(&e))?;
    }
    // Filled points are used for the fit; open ones are left out of it.
    let dots = points.iter().map(|(x, y, left_out)| {
        let style = if *left_out {
            BLACK.stroke_width(1)
        } else {
            BLACK.filled()
        };
        Circle::new((*x, *y), 3, style)
    });
    chart.draw_series(dots).map_err(|e| error(&e))?;
    Ok(())
}
