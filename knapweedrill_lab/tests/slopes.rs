//! Slopes are those of the line that the points lie on, and usage is that of the process.

use std::process;

use knapweedrill_lab::slopes::{Fit, Point, ProcessUsage};

fn points(values: &[(f64, f64)]) -> Vec<Point> {
    values.iter().map(|(x, y)| Point { x: *x, y: *y }).collect()
}

#[test]
fn points_on_a_line_have_its_slope_and_no_residual() {
    let fit = Fit::through(&points(&[(1.0, 5.0), (2.0, 8.0), (4.0, 14.0)]));
    let fit = fit.expect("three sizes make a line");
    assert!((fit.slope - 3.0).abs() < 1e-9, "{fit:?}");
    assert!((fit.intercept - 2.0).abs() < 1e-9, "{fit:?}");
    assert!(fit.residual < 1e-9, "{fit:?}");
}

#[test]
fn points_off_the_line_leave_a_residual() {
    let fit = Fit::through(&points(&[(0.0, 1.0), (0.0, 3.0), (2.0, 1.0), (2.0, 3.0)]));
    let fit = fit.expect("two sizes make a line");
    assert!(fit.slope.abs() < 1e-9, "{fit:?}");
    assert!((fit.residual - 1.0).abs() < 1e-9, "{fit:?}");
}

#[test]
fn one_size_has_no_slope() {
    assert_eq!(Fit::through(&points(&[(2.0, 1.0), (2.0, 3.0)])), None);
}

#[test]
fn a_process_without_a_control_thread_is_no_daemon() {
    let error = ProcessUsage::read(process::id()).expect_err("a test has no control thread");
    assert!(error.to_string().contains("control thread"), "{error}");
}
