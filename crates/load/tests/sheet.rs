//! Missed goals are marked in the printed sheet.

use hickory_load::sheet::{Goal, Sheet};

#[test]
fn a_figure_says_whether_it_meets_its_goal() {
    let mut sheet = Sheet::open("example", 3);
    sheet.add("plain", 1.0, "ms");
    sheet.judge("fast enough", 1.0, "ms", Goal::AtMost(1.0));
    sheet.judge("too slow", 1.1, "ms", Goal::AtMost(1.0));
    sheet.judge("too little", 0.9, "x", Goal::AtLeast(0.95));
    sheet.judge("never measured", f64::NAN, "x", Goal::AtMost(1.0));
    let met: Vec<_> = sheet.figures.iter().map(|figure| figure.met).collect();
    assert_eq!(met, [None, Some(true), Some(false), Some(false), Some(false)]);
    let text = sheet.to_string();
    assert_eq!(text.matches("MISSED").count(), 3, "{text}");
    assert!(text.starts_with("example, seed 3, load average "), "{text}");
}
