//! The report of a load run: a Markdown page with figures and an SVG plot.

use std::fmt::Write;
use std::fs;
use std::io;
use std::path::Path;

use plotters::chart::ChartBuilder;
use plotters::drawing::IntoDrawingArea;
use plotters::element::PathElement;
use plotters::prelude::SVGBackend;
use plotters::series::LineSeries;
use plotters::style::BLACK;
use plotters::style::BLUE;
use plotters::style::Color;
use plotters::style::GREEN;
use plotters::style::RED;
use plotters::style::RGBColor;
use plotters::style::WHITE;

use crate::load_plan::LoadClass;
use crate::load_plan::LoadPlan;
use crate::load_stats::ClassLatency;
use crate::load_stats::LoadStats;
use crate::load_stats::PHASE_NAMES;
use crate::load_stats::SETTLING_TIME;

/// Size of the plot in pixels.
const PLOT_SIZE_PX: (u32, u32) = (900, 420);

/// Writes the report to `path` in Markdown, and its plot next to it with the extension `svg`.
///
/// # Errors
///
/// Returns an error when the plot cannot be drawn or a file cannot be written.
pub fn write(path: &Path, plan: &LoadPlan, stats: &LoadStats, summary: &str) -> io::Result<()> {
    let plot = path.with_extension("svg");
    fs::write(&plot, draw(plan, stats).map_err(io::Error::other)?)?;
    let name = plot.file_name().unwrap_or_default().to_string_lossy();
    let mut page = format!(
        "# Load: {}\n\nSeed {}, {} requests per second, three phases of {} s.\n\n",
        plan.scenario,
        plan.seed,
        plan.rate,
        plan.phase_duration.as_secs()
    );
    page.push_str("| phase | class | answers | p50 ms | p99 ms | p99.9 ms |\n");
    page.push_str("| --- | --- | --- | --- | --- | --- |\n");
    for (index, phase) in PHASE_NAMES.iter().enumerate() {
        append_rows(
            &mut page,
            phase,
            &stats.phase_latency(index, std::time::Duration::ZERO),
        );
    }
    append_rows(
        &mut page,
        "during, settled",
        &stats.phase_latency(1, SETTLING_TIME),
    );
    // Writing to a string does not fail.
    let _ = write!(
        page,
        "\n![p99 by second]({name})\n\n```json\n{summary}\n```\n"
    );
    fs::write(path, page)
}

fn append_rows(page: &mut String, phase: &str, rows: &ClassLatency) {
    for (class, row) in rows {
        // Writing to a string does not fail.
        let _ = writeln!(
            page,
            "| {phase} | {class} | {} | {:.2} | {:.2} | {:.2} |",
            row.count, row.p50, row.p99, row.p999
        );
    }
}

fn color(class: LoadClass) -> RGBColor {
    match class {
        LoadClass::Check => BLUE,
        LoadClass::Book => RED,
        LoadClass::Direct => GREEN,
    }
}

/// Returns an SVG plot of the 99th percentile of latency in each second.
fn draw(plan: &LoadPlan, stats: &LoadStats) -> Result<String, String> {
    let series = stats.p99_by_second();
    let points = series.iter().flat_map(|(_, points)| points);
    let (max_x, max_y) = points.fold((1.0_f64, 1.0_f64), |(x, y), point| {
        (x.max(point.0), y.max(point.1))
    });
    let mut text = String::new();
    draw_chart(&mut text, plan, &series, (max_x, max_y * 1.1))
        .map_err(|error| error.to_string())?;
    Ok(text)
}

type ClassSeries = (LoadClass, Vec<(f64, f64)>);

fn draw_chart(
    text: &mut String,
    plan: &LoadPlan,
    series: &[ClassSeries],
    (max_x, max_y): (f64, f64),
) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::with_string(text, PLOT_SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            format!("p99 by second: {}", plan.scenario),
            ("sans-serif", 18),
        )
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..max_x, 0.0..max_y)?;
    chart.configure_mesh().x_desc("s").y_desc("ms").draw()?;
    for phase in 1..PHASE_NAMES.len() {
        let phase_start_s = plan.phase_duration.as_secs_f64() * phase as f64;
        chart.draw_series(LineSeries::new(
            [(phase_start_s, 0.0), (phase_start_s, max_y)],
            BLACK.mix(0.4),
        ))?;
    }
    for (class, points) in series {
        let color = color(*class);
        chart
            .draw_series(LineSeries::new(points.iter().copied(), color))?
            .label(class.name())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
