//! Results as a table and as one self-contained page with charts.
use crate::experiment::{interval, Line, Verdict};
use plotters::prelude::*;
use rockpick_rehearse::Plan;
use std::fmt::Write;

/// Lines of both sides, in the order in which choices first came.
fn sides(lines: &[Line]) -> Vec<(&str, Vec<&Line>)> {
    let mut sides: Vec<(&str, Vec<&Line>)> = Vec::new();
    for line in lines {
        match sides.iter_mut().find(|s| s.0 == line.choice) {
            Some(side) => side.1.push(line),
            None => sides.push((&line.choice, vec![line])),
        }
    }
    sides
}

/// One row a choice: means with 95% bootstrap intervals where that says something.
pub fn table(lines: &[Line]) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{:<28} {:>5} {:>24} {:>9} {:>9} {:>9} {:>12}",
        "choice", "days", "service (95%)", "pushed", "aborted", "exposure", "sent back"
    );
    for (name, lines) in sides(lines) {
        let of = |f: &dyn Fn(&Line) -> f64| -> Vec<f64> { lines.iter().map(|l| f(l)).collect() };
        let (mean, low, high) = interval(&of(&|l| l.service), 0.05, 1);
        let average = |v: Vec<f64>| v.iter().sum::<f64>() / v.len().max(1) as f64;
        let rpcs = |l: &Line| (l.ok + l.pushed_back + l.aborted + l.unanswered).max(1) as f64;
        let backs: Vec<f64> = lines.iter().filter_map(|l| l.back_after).collect();
        let back = match backs.len() {
            0 => "never".to_string(),
            n => format!("{n}, {:.1} s", average(backs.clone())),
        };
        let _ = writeln!(
            out,
            "{name:<28} {:>5} {mean:>8.4} {low:>7.4}-{high:.4} {:>8.1}% {:>8.2}% {:>8.1}% {back:>12}",
            lines.len(),
            100.0 * average(of(&|l| l.pushed_back as f64 / rpcs(l))),
            100.0 * average(of(&|l| l.aborted as f64 / rpcs(l))),
            100.0 * average(of(&|l| l.exposure))
        );
    }
    out
}

const COLOURS: [RGBColor; 2] = [RGBColor(31, 95, 160), RGBColor(200, 90, 20)];
const SIZE: (u32, u32) = (860, 300);

/// Mean service by second of each side, with the stage moves of its first day.
fn by_second(lines: &[Line]) -> Result<String, Box<dyn std::error::Error>> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let longest = lines.iter().map(|l| l.by_second.len()).max().unwrap_or(1);
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .caption("service by second, mean over days", ("sans-serif", 15))
            .x_label_area_size(28)
            .y_label_area_size(44)
            .build_cartesian_2d(0f64..longest as f64, 0f64..1.02)?;
        chart.configure_mesh().x_desc("s").light_line_style(WHITE).draw()?;
        for ((name, lines), colour) in sides(lines).into_iter().zip(COLOURS) {
            let mean = |s: usize| {
                let at: Vec<f64> = lines.iter().filter_map(|l| l.by_second.get(s)).copied().collect();
                at.iter().sum::<f64>() / at.len().max(1) as f64
            };
            let points: Vec<(f64, f64)> = (0..longest).map(|s| (s as f64, mean(s))).collect();
            let legend = move |(x, y)| PathElement::new(vec![(x, y), (x + 14, y)], colour);
            chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?.label(name).legend(legend);
            if let Some(first) = lines.first() {
                for (at, ..) in &first.stages {
                    chart.draw_series([PathElement::new(
                        vec![(*at, 0.0), (*at, 0.06)],
                        colour.stroke_width(2),
                    )])?;
                }
            }
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .position(SeriesLabelPosition::LowerRight)
            .draw()?;
        root.present()?;
    }
    Ok(svg)
}

/// Values of both sides, sorted: what share of days lies at or below each value.
fn spread(title: &str, unit: &str, sides: &[(&str, Vec<f64>)]) -> Result<String, Box<dyn std::error::Error>> {
    let mut svg = String::new();
    {
        let all: Vec<f64> = sides.iter().flat_map(|s| s.1.iter().copied()).collect();
        let (low, high) = all.iter().fold((f64::MAX, f64::MIN), |(l, h), v| (l.min(*v), h.max(*v)));
        let (low, high) = if low < high { (low, high) } else { (low - 0.5, low + 0.5) };
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .caption(title, ("sans-serif", 15))
            .x_label_area_size(28)
            .y_label_area_size(44)
            .build_cartesian_2d(low..high, 0f64..1.02)?;
        chart.configure_mesh().x_desc(unit).y_desc("share of days").light_line_style(WHITE).draw()?;
        for ((name, values), colour) in sides.iter().zip(COLOURS) {
            let mut values = values.clone();
            values.sort_by(f64::total_cmp);
            let n = values.len().max(1) as f64;
            let steps =
                values.iter().enumerate().flat_map(|(i, v)| [(*v, i as f64 / n), (*v, (i + 1) as f64 / n)]);
            let legend = move |(x, y)| PathElement::new(vec![(x, y), (x + 14, y)], colour);
            chart.draw_series(LineSeries::new(steps, colour.stroke_width(2)))?.label(*name).legend(legend);
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .position(SeriesLabelPosition::UpperLeft)
            .draw()?;
        root.present()?;
    }
    Ok(svg)
}

fn plain(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// One page that needs nothing else: words, table, charts.
///
/// # Errors
/// A chart that can't be drawn.
pub fn page(name: &str, plan: &Plan, verdict: &Verdict, lines: &[Line]) -> Result<String, String> {
    let say = |err: Box<dyn std::error::Error>| err.to_string();
    let of = |f: &dyn Fn(&Line) -> Option<f64>| -> Vec<(&str, Vec<f64>)> {
        sides(lines).into_iter().map(|(n, l)| (n, l.into_iter().filter_map(f).collect())).collect()
    };
    let mut charts = by_second(lines).map_err(say)?;
    charts += &spread("service of a day", "service", &of(&|l| Some(l.service))).map_err(say)?;
    charts += &spread("picks at builds on trial, of all picks", "share", &of(&|l| Some(l.exposure)))
        .map_err(say)?;
    let backs = of(&|l| l.back_after);
    if backs.iter().any(|b| !b.1.is_empty()) {
        charts += &spread("from offer to sent back, days where it was", "s", &backs).map_err(say)?;
    }
    let day = if plan.trouble.is_empty() { plan.day.clone() } else { plan.trouble.join(" and ") };
    Ok(format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>rockpick experiment</title>\
         <style>body{{font:15px/1.5 sans-serif;margin:2em auto;max-width:900px}}pre{{background:#f4f4f4;padding:1em;\
         overflow:auto}}svg{{max-width:100%;height:auto;display:block;margin:1em 0}}</style>\
         <h1>{}</h1><p>Emulated, not measured on real machines: day <b>{}</b>, {} fronts, {} machines, {} RPCs a \
         second, seeds from {}. Both sides played the same seeds.</p><p>Service less that of <i>as it is</i>: \
         <b>{:+.4}</b>, interval {:+.4} to {:+.4} from {} pairs; {}.</p><pre>{}</pre>{charts}</html>\n",
        plain(name), plain(&day), plan.fronts, plan.machines, plan.rate, plan.seed, verdict.mean, verdict.low,
        verdict.high, verdict.pairs, plain(&verdict.why), plain(&table(lines))
    ))
}
