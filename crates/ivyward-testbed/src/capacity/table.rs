//! Prints rows as Markdown.

use crate::capacity::rows::{Basis, Row};

/// Formats a number with about three significant digits.
fn number(value: f64) -> String {
    match value.abs() {
        v if v >= 100.0 => format!("{value:.0}"),
        v if v >= 10.0 => format!("{value:.1}"),
        _ => format!("{value:.2}"),
    }
}

fn basis(basis: Basis) -> &'static str {
    match basis {
        Basis::Measured => "measured",
        Basis::Extrapolated => "from slopes",
        Basis::Calculated => "reckoned",
        Basis::NoMechanism => "no mechanism",
    }
}

fn line(row: &Row) -> String {
    let budget = row.budget.map_or("-".to_owned(), |budget| {
        format!("{} {}", number(budget), row.unit)
    });
    let over = match row.budget_ratio() {
        Some(over) if over > 1.0 => format!("**{} times over**", number(over)),
        Some(_) => "within".to_owned(),
        None => "-".to_owned(),
    };
    format!(
        "| {} | {} | {} {} | {budget} | {over} | {} |\n",
        row.role,
        row.what,
        number(row.value),
        row.unit,
        basis(row.basis)
    )
}

/// Table of all rows.
pub fn markdown(rows: &[Row]) -> String {
    let head = "| role | figure | at this size | budget | | basis |\n| --- | --- | --- | --- | --- | --- |\n";
    head.to_owned() + &rows.iter().map(line).collect::<String>()
}

/// Numbered list of the rows that exceed their budgets, the highest ratio to the budget first.
pub fn ranking(rows: &[Row]) -> String {
    let mut over: Vec<(f64, &Row)> = rows
        .iter()
        .filter_map(|row| Some((row.budget_ratio()?, row)))
        .filter(|(over, _)| *over > 1.0)
        .collect();
    over.sort_by(|a, b| b.0.total_cmp(&a.0));
    let line = |(rank, (over, row)): (usize, &(f64, &Row))| {
        format!(
            "{}. {}, {}: {} times its budget\n",
            rank + 1,
            row.role,
            row.what,
            number(*over)
        )
    };
    over.iter().enumerate().map(line).collect()
}
