//! How the page writes figures.

/// The least value that is written without an exponent.
const PLAIN_MIN: f64 = 1e-4;

/// Writes a number, with fewer decimals the larger it is.
pub(super) fn count(value: f64) -> String {
    let size = value.abs();
    if size >= 1e3 {
        grouped(value)
    } else if size >= 1e2 {
        format!("{value:.0}")
    } else if size >= 1e1 {
        format!("{value:.1}")
    } else if size >= 1.0 {
        format!("{value:.2}")
    } else {
        two_digits(value)
    }
}

/// Writes bytes with a decimal unit.
pub(super) fn bytes(value: f64) -> String {
    let size = value.abs();
    if size >= 1e9 {
        format!("{:.2} GB", value / 1e9)
    } else if size >= 1e6 {
        format!("{:.1} MB", value / 1e6)
    } else if size >= 1e3 {
        format!("{:.1} KB", value / 1e3)
    } else {
        format!("{value:.0} B")
    }
}

/// Writes per cent.
pub(super) fn percent(value: f64) -> String {
    if value.abs() < 10.0 {
        format!("{} %", two_digits(value))
    } else {
        format!("{} %", grouped(value))
    }
}

/// Writes a whole number with commas between groups of three digits.
pub(super) fn grouped(value: f64) -> String {
    let digits = format!("{:.0}", value.abs());
    let mut text = String::new();
    for (position, digit) in digits.chars().enumerate() {
        if position > 0 && (digits.len() - position).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    let sign = if value < 0.0 { "-" } else { "" };
    format!("{sign}{text}")
}

/// Writes two significant digits.
fn two_digits(value: f64) -> String {
    let size = value.abs();
    if size == 0.0 {
        return "0".to_owned();
    }
    if size < PLAIN_MIN {
        return format!("{value:.1e}");
    }
    let decimals = (1.0 - size.log10().floor()).max(0.0) as usize;
    let text = format!("{value:.decimals$}");
    if !text.contains('.') {
        return text;
    }
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}
