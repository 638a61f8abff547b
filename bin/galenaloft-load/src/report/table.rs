//! The report as a table.

use crate::load::Outcome;

/// Returns the report as text.
pub fn table(outcome: &Outcome) -> String {
    let mut text = row(&[
        "KIND", "RANK", "SENT", "ANSWERED", "NOT RUN", "MAYBE", "GOOD/S", "P50 MS", "P99 MS",
        "P99.9", "COVERAGE", "WHOLE", "EXTRA",
    ]
    .map(str::to_owned));
    let seconds = outcome.counted.as_secs_f64();
    for kind in &outcome.kinds {
        let tally = &kind.tally;
        let whole = 100.0 * tally.complete as f64 / tally.answered.max(1) as f64;
        text += &row(&[
            kind.name.clone(),
            kind.rank.to_string(),
            tally.sent.to_string(),
            tally.answered.to_string(),
            tally.not_run.to_string(),
            tally.may_have_run.to_string(),
            format!("{:.1}", tally.good as f64 / seconds),
            format!("{:.1}", tally.millis(0.5)),
            format!("{:.1}", tally.millis(0.99)),
            format!("{:.1}", tally.millis(0.999)),
            format!("{:.2}%", 100.0 * tally.mean_coverage()),
            format!("{whole:.1}%"),
            kind.extra_load.map_or("-".to_owned(), |extra| format!("{:.2}%", 100.0 * extra)),
        ]);
    }
    let late = |quantile| outcome.lateness.value_at_quantile(quantile) as f64 / 1_000.0;
    text += &format!(
        "The tool itself sent its requests {:.2} ms late at p50 and {:.2} ms at p99; this is part \
         of the latencies.\n",
        late(0.5),
        late(0.99)
    );
    text
}

fn row<const N: usize>(cells: &[String; N]) -> String {
    let padded = cells.iter().enumerate().map(|(i, cell)| match i {
        0 => format!("{cell:<18}"),
        _ => format!("{cell:>9}"),
    });
    padded.collect::<Vec<_>>().join(" ").trim_end().to_owned() + "\n"
}
