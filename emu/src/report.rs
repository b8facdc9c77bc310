//! Experiment results as a text table and as a self-contained HTML page with charts.
use crate::experiment::interval;
use crate::study::{Study, Verdict};
use crate::summary::{DaySummary, P50, P99, QUANTILES};
use plotters::coord::Shift;
use plotters::prelude::*;
use std::fmt::Write;

type Svg = Result<String, Box<dyn std::error::Error>>;
type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Results grouped by choice, in the order in which choices first appear.
fn by_choice(days: &[DaySummary]) -> Vec<(&str, Vec<&DaySummary>)> {
    let mut groups: Vec<(&str, Vec<&DaySummary>)> = Vec::new();
    for day in days {
        match groups.iter_mut().find(|s| s.0 == day.choice) {
            Some(group) => group.1.push(day),
            None => groups.push((&day.choice, vec![day])),
        }
    }
    groups
}

fn average(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// A share with its 95% interval (Wilson, 1927), which stays valid for shares of 0 and 1.
fn share(n: u32, of: u32) -> [f64; 3] {
    let (z, of) = (1.96, f64::from(of.max(1)));
    let p = f64::from(n) / of;
    let (middle, spread) =
        (p + z * z / (2.0 * of), z * (p * (1.0 - p) / of + z * z / (4.0 * of * of)).sqrt());
    let scale = 1.0 + z * z / of;
    [p, ((middle - spread) / scale).max(0.0), ((middle + spread) / scale).min(1.0)]
}

/// One row for each choice: means, and the 95% bootstrap interval of service.
pub fn table(days: &[DaySummary]) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{:<28} {:>5} {:>23} {:>7} {:>8} {:>8} {:>8} {:>9} {:>12} {:>12}",
        "choice",
        "days",
        "service (95%)",
        "pushed",
        "aborted",
        "p50 ms",
        "p99 ms",
        "exposure",
        "sent back",
        "false alarms"
    );
    for (name, days) in by_choice(days) {
        let of = |f: &dyn Fn(&DaySummary) -> f64| -> Vec<f64> { days.iter().map(|l| f(l)).collect() };
        let (mean, low, high) = interval(&of(&|l| l.service), 0.05, 1);
        let time = |at: usize| average(&of(&|l| l.times.get(at).copied().unwrap_or(0.0)));
        let backs: Vec<f64> = days.iter().filter_map(|l| l.back_after).collect();
        let back = match backs.len() {
            0 => "never".to_string(),
            n => format!("{n}, {:.1} s", average(&backs)),
        };
        let sum = |f: &dyn Fn(&DaySummary) -> u32| days.iter().map(|l| f(l)).sum::<u32>();
        let _ = writeln!(
            out,
            "{name:<28} {:>5} {mean:>7.4} {low:>7.4}-{high:.4} {:>6.1}% {:>7.2}% {:>8.1} {:>8.1} {:>8.1}% {back:>12} {:>12}",
            days.len(),
            100.0 * average(&of(&|l| l.pushed_back as f64 / l.rpcs())),
            100.0 * average(&of(&|l| l.aborted as f64 / l.rpcs())),
            time(P50),
            time(P99),
            100.0 * average(&of(&|l| l.exposure)),
            format!("{} of {}", sum(&|l| l.good_back), sum(&|l| l.good)),
        );
    }
    out
}

const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 95, 160),
    RGBColor(200, 90, 20),
    RGBColor(40, 140, 70),
    RGBColor(150, 50, 140),
    RGBColor(120, 120, 120),
    RGBColor(190, 160, 20),
];
const SIZE: (u32, u32) = (860, 300);

struct Axes<'a> {
    title: &'a str,
    x: (&'a str, std::ops::Range<f64>),
    y: (&'a str, std::ops::Range<f64>),
    legend: SeriesLabelPosition,
}

struct Curve<'a> {
    name: &'a str,
    colour: RGBColor,
    width: u32,
    points: Vec<(f64, f64)>,
}

/// A line chart; curves of the same name share a legend entry.
fn line_chart(axes: Axes, curves: Vec<Curve>) -> Svg {
    let mut svg = String::new();
    {
        let root: Area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .caption(axes.title, ("sans-serif", 15))
            .x_label_area_size(34)
            .y_label_area_size(52)
            .build_cartesian_2d(axes.x.1, axes.y.1)?;
        chart.configure_mesh().x_desc(axes.x.0).y_desc(axes.y.0).light_line_style(WHITE).draw()?;
        let mut in_legend: Vec<&str> = Vec::new();
        for curve in curves {
            let (colour, style) = (curve.colour, curve.colour.stroke_width(curve.width));
            let series = chart.draw_series(LineSeries::new(curve.points, style))?;
            if !in_legend.contains(&curve.name) {
                in_legend.push(curve.name);
                series.label(curve.name).legend(move |(x, y)| {
                    PathElement::new(vec![(x, y), (x + 14, y)], colour.stroke_width(2))
                });
            }
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).position(axes.legend).draw()?;
        root.present()?;
    }
    Ok(svg)
}

fn coloured<'a>(groups: &[(&'a str, Vec<&'a DaySummary>)]) -> Vec<Group<'a>> {
    groups.iter().zip(COLOURS.iter().cycle()).map(|((n, l), c)| (*n, l.clone(), *c)).collect()
}

/// The mean over days of a figure by second.
fn by_second(days: &[&DaySummary], of: impl Fn(&DaySummary) -> &[f64]) -> Vec<(f64, f64)> {
    let longest = days.iter().map(|l| of(l).len()).max().unwrap_or(0);
    let mean = |s: usize| {
        let at: Vec<f64> = days.iter().filter_map(|l| of(l).get(s)).copied().collect();
        average(&at)
    };
    (0..longest).map(|s| (s as f64, mean(s))).collect()
}

/// A step function from second 0 to `end`.
fn steps(marks: &[(f64, f64)], from: f64, end: f64) -> Vec<(f64, f64)> {
    let (mut points, mut at) = (vec![(0.0, from)], from);
    for (t, value) in marks {
        points.extend([(*t, at), (*t, *value)]);
        at = *value;
    }
    points.push((end, at));
    points
}

/// A choice, its days and its colour.
type Group<'a> = (&'a str, Vec<&'a DaySummary>, RGBColor);
/// The points to draw for the days of a choice.
type Points<'a> = &'a dyn Fn(&[&DaySummary]) -> Vec<(f64, f64)>;

/// Cumulative distribution over days: the share of days at or below each value.
fn distribution(title: &str, unit: &str, groups: &[(&str, Vec<f64>)]) -> Svg {
    let all: Vec<f64> = groups.iter().flat_map(|s| s.1.iter().copied()).collect();
    let (low, high) = all.iter().fold((f64::MAX, f64::MIN), |(l, h), v| (l.min(*v), h.max(*v)));
    let (low, high) = if low < high { (low, high) } else { (low - 0.5, low + 0.5) };
    let curves = groups.iter().zip(COLOURS.iter().cycle()).map(|((name, values), colour)| {
        let mut values = values.clone();
        values.sort_by(f64::total_cmp);
        let n = values.len().max(1) as f64;
        let points = values.iter().enumerate();
        let points = points.flat_map(|(i, v)| [(*v, i as f64 / n), (*v, (i + 1) as f64 / n)]).collect();
        Curve { name, colour: *colour, width: 2, points }
    });
    let axes = Axes {
        title,
        x: (unit, low..high),
        y: ("share of days", 0.0..1.02),
        legend: SeriesLabelPosition::UpperLeft,
    };
    line_chart(axes, curves.collect())
}

/// The share of good builds that were sent back: a bar for each choice, with its interval.
fn false_alarms(groups: &[Group]) -> Svg {
    let mut svg = String::new();
    {
        let root: Area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let shares: Vec<[f64; 3]> = groups
            .iter()
            .map(|(_, l, _)| share(l.iter().map(|l| l.good_back).sum(), l.iter().map(|l| l.good).sum()))
            .collect();
        let top = shares.iter().map(|s| s[2]).fold(0.05, f64::max) * 1.1;
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .caption("false alarms: good builds sent back, with 95% (Wilson)", ("sans-serif", 15))
            .x_label_area_size(20)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..groups.len() as f64, 0.0..top)?;
        chart.configure_mesh().disable_x_mesh().x_labels(0).y_desc("share").light_line_style(WHITE).draw()?;
        for (i, ((name, _, colour), [p, low, high])) in groups.iter().zip(&shares).enumerate() {
            let (left, middle, colour) = (i as f64 + 0.3, i as f64 + 0.5, *colour);
            let bar = Rectangle::new([(left, 0.0), (left + 0.4, *p)], colour.mix(0.5).filled());
            let whisker = PathElement::new(vec![(middle, *low), (middle, *high)], colour.stroke_width(2));
            let label = move |(x, y)| PathElement::new(vec![(x, y), (x + 14, y)], colour.stroke_width(2));
            chart.draw_series([bar])?.label(*name).legend(label);
            chart.draw_series([whisker])?;
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
        root.present()?;
    }
    Ok(svg)
}

fn charts(days: &[DaySummary]) -> Svg {
    let groups = by_choice(days);
    let of = |f: &dyn Fn(&DaySummary) -> Option<f64>| -> Vec<(&str, Vec<f64>)> {
        groups.iter().map(|(n, l)| (*n, l.iter().filter_map(|l| f(l)).collect())).collect()
    };
    let coloured = coloured(&groups);
    let end = days.iter().map(|l| l.by_second.len()).max().unwrap_or(1) as f64;
    let per_group = |width: u32, points: Points| -> Vec<Curve> {
        let mut made = Vec::new();
        for (name, l, colour) in &coloured {
            made.push(Curve { name, colour: *colour, width, points: points(l) });
        }
        made
    };
    let axes = |title, y, top: f64, legend| Axes { title, x: ("s", 0.0..end), y: (y, 0.0..top), legend };
    use SeriesLabelPosition::{LowerRight, UpperLeft};
    let mut out = line_chart(
        axes("service by second, mean over days", "share of utility", 1.02, LowerRight),
        per_group(2, &|l| by_second(l, |l| &l.by_second)),
    )?;
    if days.iter().any(|l| !l.caps.is_empty()) {
        let cap = |l: &[&DaySummary]| l.first().map_or(Vec::new(), |l| steps(&l.caps, 0.0, end));
        out += &line_chart(
            axes("announced cap, first day of each", "cap", 1.05, UpperLeft),
            per_group(2, &cap),
        )?;
        let mut both = per_group(1, &cap);
        both.extend(per_group(3, &|l| {
            l.first()
                .map_or(Vec::new(), |l| l.newest.iter().enumerate().map(|(s, v)| (s as f64, *v)).collect())
        }));
        let title =
            "share of picks at the newest build (thick) against cap (thin; free ones come on top), first day of each";
        out += &line_chart(axes(title, "share", 1.05, UpperLeft), both)?;
    }
    // Quantiles on a logarithmic axis: 0.9, 0.99 and 0.999 are evenly spaced.
    let nines = |q: f64| -(1.0 - q).log10();
    let top = days.iter().filter_map(|l| l.times.last()).copied().fold(1.0, f64::max);
    let times = |l: &[&DaySummary]| -> Vec<(f64, f64)> {
        let at = |i: usize| average(&l.iter().filter_map(|l| l.times.get(i)).copied().collect::<Vec<_>>());
        QUANTILES.iter().enumerate().map(|(i, q)| (nines(*q), at(i))).collect()
    };
    let axes = Axes {
        title: "time to ok by quantile, mean over days (x: 1 is 0.9, 2 is 0.99, 3 is 0.999)",
        x: ("nines", 0.0..3.05),
        y: ("ms", 0.0..top * 1.05),
        legend: UpperLeft,
    };
    out += &line_chart(axes, per_group(2, &times))?;
    out += &distribution("service of a day", "service", &of(&|l| Some(l.service)))?;
    out += &distribution("picks at builds on trial, of all picks", "share", &of(&|l| Some(l.exposure)))?;
    let backs = of(&|l| l.back_after);
    if backs.iter().any(|b| !b.1.is_empty()) {
        out += &distribution("from offer to sent back, days where it was", "s", &backs)?;
    }
    if days.iter().any(|l| l.good > 0) {
        out += &false_alarms(&coloured)?;
    }
    Ok(out)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// A verdict as one line of text.
pub fn verdict_text(v: &Verdict) -> String {
    format!(
        "'{}' less 'as it is': service {:+.4}, interval {:+.4} to {:+.4} ({} pairs); {}",
        v.choice,
        v.mean,
        v.low,
        v.high,
        v.pairs,
        v.why.as_deref().unwrap_or("not settled yet")
    )
}

/// A self-contained HTML page: summary, table and charts.
///
/// # Errors
/// A chart that can't be drawn.
pub fn page(study: Option<&Study>, verdicts: &[Verdict], days: &[DaySummary]) -> Result<String, String> {
    let charts = charts(days).map_err(|err| err.to_string())?;
    let summary = match study {
        Some(study) => {
            let plan = &study.plan;
            let day = if plan.trouble.is_empty() { plan.day.clone() } else { plan.trouble.join(" and ") };
            format!(
                "<p>Emulated, not measured on real machines: day <b>{}</b>, {} fronts, {} machines, {} RPCs a second, \
                 seeds from {}. All choices ran the same seeds.</p>",
                escape(&day),
                plan.fronts,
                plan.machines,
                plan.rate,
                plan.seed
            )
        }
        None => {
            let mut sources: Vec<&str> = days.iter().map(|l| l.how.as_str()).collect();
            sources.sort_unstable();
            sources.dedup();
            format!("<p>Figures: {}.</p>", escape(&sources.join(", ")))
        }
    };
    let verdicts: String = verdicts.iter().map(|v| format!("<p>{}</p>", escape(&verdict_text(v)))).collect();
    Ok(format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>rockpick experiment</title>\
         <style>body{{font:15px/1.5 sans-serif;margin:2em auto;max-width:900px}}pre{{background:#f4f4f4;padding:1em;\
         overflow:auto;font-size:12px}}svg{{max-width:100%;height:auto;display:block;margin:1em 0}}</style>\
         <h1>rockpick experiment</h1>{summary}{verdicts}<pre>{}</pre>{charts}</html>\n",
        escape(&table(days))
    ))
}
