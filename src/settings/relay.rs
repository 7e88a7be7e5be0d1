//! Settings file of an entry instance: JSON with comments, usually rendered from a template of the platform.

use {
    super::locate::{Document, LocatedFault},
    crate::error::Result,
    bilberryfront_decide::catalog::Step,
    bilberryfront_relay::settings::Settings,
    std::path::Path,
};

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
    let amounts = [("ratio", bounds.ratio), ("slack", bounds.slack), ("trials", bounds.trials)];
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
    faults
}
