//! The plots of a soak's page, as SVG text. `report` calls [`draw_all`] with what `series` counted.

use super::series::{AnswerKind, SecondCounts, SoakSeries};
use crate::soak::spans::FaultSpan;
use plotters::prelude::*;

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (1100, 300);
/// Space for the numbers at the axes, in pixels.
const LABELS: u32 = 45;
/// Most reasons that have a line of their own.
const MOST_REASONS: usize = 6;
/// Opacity of a fault's band, so that the lines behind stay visible.
const BAND_OPACITY: f64 = 0.12;
/// Space above the highest point, as a share of it.
const HEADROOM: f64 = 1.1;

/// A plot can't be drawn.
#[derive(Debug, thiserror::Error)]
#[error("a plot can't be drawn: {detail}; the history may hold numbers beyond any scale")]
pub struct PlotError {
    detail: String,
}

impl PlotError {
    fn new(error: impl std::fmt::Display) -> Self {
        Self { detail: error.to_string() }
    }
}

/// A line of a plot: its name, and a value for each second that has one.
struct PlotLine {
    name: String,
    values: Vec<Option<f64>>,
}

/// The three plots: answers, latencies, and reasons of refusals and failures.
pub fn draw_all(series: &SoakSeries, bands: &[FaultSpan]) -> Result<Vec<String>, PlotError> {
    let plots = [
        ("Requests a second, by what became of them", answer_lines(series)),
        ("Time until a good answer, in milliseconds", latency_lines(series)),
        ("Refused and failed requests a second, by reason", reason_lines(series)),
    ];
    plots.into_iter().map(|(title, lines)| draw(title, &lines, bands)).collect()
}

fn line(name: &str, series: &SoakSeries, value: impl Fn(&SecondCounts) -> Option<f64>) -> PlotLine {
    PlotLine { name: name.to_owned(), values: series.seconds.iter().map(value).collect() }
}

fn answer_lines(series: &SoakSeries) -> Vec<PlotLine> {
    let count = |counts: &SecondCounts, kind| counts.answers.get(&kind).copied().unwrap_or_default() as f64;
    AnswerKind::ALL.map(|kind| line(kind.name(), series, |counts| Some(count(counts, kind)))).into()
}

fn latency_lines(series: &SoakSeries) -> Vec<PlotLine> {
    let shares = [("half", 0.5), ("99 of 100", 0.99)];
    let latency = |counts: &SecondCounts, share| counts.latency_ms(share).map(|latency| latency as f64);
    shares.map(|(name, share)| line(name, series, |counts| latency(counts, share))).into()
}

fn reason_lines(series: &SoakSeries) -> Vec<PlotLine> {
    let count =
        |counts: &SecondCounts, reason| counts.reasons.get(reason).copied().unwrap_or_default() as f64;
    let reasons = series.frequent_reasons(MOST_REASONS);
    reasons.iter().map(|reason| line(reason, series, |counts| Some(count(counts, reason)))).collect()
}

fn draw(title: &str, lines: &[PlotLine], bands: &[FaultSpan]) -> Result<String, PlotError> {
    let seconds = lines.iter().map(|line| line.values.len()).max().unwrap_or_default().max(1) as f64;
    let highest = lines.iter().flat_map(|line| line.values.iter().flatten().copied()).fold(1.0, f64::max);
    let top = highest * HEADROOM;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(PlotError::new)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 18))
            .x_label_area_size(LABELS)
            .y_label_area_size(LABELS)
            .build_cartesian_2d(0.0..seconds, 0.0..top)
            .map_err(PlotError::new)?;
        chart.configure_mesh().x_desc("seconds").draw().map_err(PlotError::new)?;
        let band = |span: &FaultSpan| {
            let to = (span.to_ms as f64 / 1000.0).min(seconds);
            Rectangle::new([(span.from_ms as f64 / 1000.0, 0.0), (to, top)], RED.mix(BAND_OPACITY).filled())
        };
        chart.draw_series(bands.iter().map(band)).map_err(PlotError::new)?;
        for (index, line) in lines.iter().enumerate() {
            let color = Palette99::pick(index).mix(1.0);
            let points = line.values.iter().enumerate();
            let points = points.filter_map(|(second, value)| Some((second as f64 + 0.5, (*value)?)));
            let drawn = chart.draw_series(LineSeries::new(points, color.stroke_width(2)));
            drawn
                .map_err(PlotError::new)?
                .label(line.name.as_str())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], color.stroke_width(2)));
        }
        let mut legend = chart.configure_series_labels();
        legend.background_style(WHITE.mix(0.8)).border_style(BLACK).draw().map_err(PlotError::new)?;
        area.present().map_err(PlotError::new)?;
    }
    svg.push('\n');
    Ok(svg)
}
