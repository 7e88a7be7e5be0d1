//! An entry instance's settings file: JSON with comments, mostly a filled template.

use {
    super::locate::{Document, Located},
    crate::error::Result,
    bilberryfront_decide::catalog::Step,
    bilberryfront_relay::settings::Settings,
    std::path::Path,
};

/// Reads and checks a settings file.
pub fn load(path: &Path) -> Result<Settings> {
    let doc = Document::read(path)?;
    let settings = doc.parse::<Settings>()?;
    doc.ensure_no_faults(faults(&doc, &settings))?;
    Ok(settings)
}

fn faults(doc: &Document, settings: &Settings) -> Vec<Located> {
    let mut faults = Vec::new();
    let names = [("name", &settings.name), ("domain", &settings.domain)];
    for (field, _) in names.iter().filter(|(_, value)| value.trim().is_empty()) {
        let help = "every instance needs one; the platform's template value may be missing";
        faults.push(doc.fault(&[Step::Field(field)], format!("`{field}` is empty"), help));
    }
    let bounds = &settings.bounds;
    let times = [
        ("grace", bounds.grace),
        ("leave_ms", bounds.leave_ms),
        ("keep", bounds.keep),
        ("window", bounds.window),
    ];
    let shares = [("ratio", bounds.ratio), ("slack", bounds.slack)];
    let wrong = |least_open: bool, value: f64| {
        !value.is_finite() || value < 0.0 || (least_open && value == 0.0)
    };
    let bad = times.iter().filter(|(_, v)| wrong(true, *v)).map(|(f, _)| (*f, "more than 0"));
    let bad =
        bad.chain(shares.iter().filter(|(_, v)| wrong(false, *v)).map(|(f, _)| (*f, "0 or more")));
    for (field, least) in bad {
        let path = [Step::Field("bounds"), Step::Field(field)];
        faults.push(doc.fault(
            &path,
            format!("`{field}` is out of range"),
            &format!("write {least}"),
        ));
    }
    faults
}
