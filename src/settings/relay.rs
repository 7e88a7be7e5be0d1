//! Settings file of an entry instance: JSON with comments, usually rendered from a template of the platform.

use {
    super::locate::{Document, LocatedFault},
    crate::error::Result,
    bilberryfront_decide::catalog::Step,
    bilberryfront_relay::settings::{Admission, Settings},
    std::path::Path,
};

/// Maximum headroom; an engine runs at most a few dozen requests, so that a greater one would admit
/// no request of a lower priority.
const MAX_HEADROOM: u32 = 64;
/// Maximum delay of a start, in milliseconds; callers do not wait longer for a first event.
const MAX_START_DELAY_MS: u32 = 60_000;

/// Reads and validates a settings file.
pub fn load(path: &Path) -> Result<Settings> {
    let doc = Document::read(path)?;
    let settings = doc.parse::<Settings>()?;
    doc.ensure_no_faults(find_faults(&doc, &settings))?;
    Ok(settings)
}

fn find_faults(doc: &Document, settings: &Settings) -> Vec<LocatedFault> {
    let mut faults = Vec::new();
    let names = [("name", &settings.name), ("domain", &settings.domain)];
    for (field, _) in names.iter().filter(|(_, value)| value.trim().is_empty()) {
        let help = "every instance needs a value; the platform may not have filled in the template";
        faults.push(doc.fault(&[Step::Field(field)], format!("`{field}` is empty"), help));
    }
    let bounds = &settings.bounds;
    let times = [
        ("grace", bounds.grace),
        ("leave_ms", bounds.leave_ms),
        ("apply_ms", bounds.apply_ms),
        ("keep", bounds.keep),
        ("window", bounds.window),
    ];
    let amounts = [
        ("ratio", bounds.ratio),
        ("slack", bounds.slack),
        ("trials", bounds.trials),
        ("reuse", bounds.reuse),
    ];
    let shares = [("exposure", bounds.exposure)];
    let is_invalid = |excludes_zero: bool, value: f64| {
        !value.is_finite() || value < 0.0 || (excludes_zero && value == 0.0)
    };
    let invalid =
        times.iter().filter(|(_, v)| is_invalid(true, *v)).map(|(f, _)| (*f, "more than 0"));
    let invalid = invalid.chain(
        amounts.iter().filter(|(_, v)| is_invalid(false, *v)).map(|(f, _)| (*f, "0 or more")),
    );
    let is_share = |value: f64| (0.0..=1.0).contains(&value);
    let invalid =
        invalid.chain(shares.iter().filter(|(_, v)| !is_share(*v)).map(|(f, _)| (*f, "0 to 1")));
    for (field, range) in invalid {
        let path = [Step::Field("bounds"), Step::Field(field)];
        faults.push(doc.fault(
            &path,
            format!("`{field}` is out of range"),
            &format!("write a value of {range}"),
        ));
    }
    check_admission(doc, &settings.admission, &mut faults);
    faults
}

/// Checks the ranges of the admission control. Numbers that are negative, not finite or not integers are
/// faults of the type, which the parser reports.
fn check_admission(doc: &Document, admission: &Admission, faults: &mut Vec<LocatedFault>) {
    let &Admission { headroom, replica_headroom, start_delay_ms, share } = admission;
    let ranges = [
        ("headroom", headroom, 0..=MAX_HEADROOM),
        ("replica_headroom", replica_headroom, 0..=MAX_HEADROOM),
        ("start_delay_ms", start_delay_ms, 1..=MAX_START_DELAY_MS),
        ("share", share, 1..=u32::MAX),
    ];
    for (field, _, range) in ranges.iter().filter(|(_, value, range)| !range.contains(value)) {
        let help = match *range.end() {
            u32::MAX => format!("write an integer of {} or more", range.start()),
            end => format!("write an integer from {} to {end}", range.start()),
        };
        let path = [Step::Field("admission"), Step::Field(field)];
        faults.push(doc.fault(&path, format!("`{field}` is out of range"), &help));
    }
}
