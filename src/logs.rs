//! Logging: to standard error, and for entry instances to standard output.

mod budget;

pub use budget::{RateLimit, dropped_lines};

use {
    crate::settings::{Log, LogFormat},
    logforth::{
        append::{Stderr, Stdout, asynchronous::AsyncBuilder},
        bridge::log::LogBridge,
        core,
        filter::rustlog::{RustLogFilter, RustLogFilterBuilder},
        layout::{JsonLayout, Layout, TextLayout},
        record::{Level, LevelFilter},
    },
};

/// Prefix of the log targets of this product.
const OWN_TARGETS: &str = env!("CARGO_PKG_NAME");

/// Maximum number of buffered lines; further ones are dropped. A reader that stops must neither increase the
/// memory use nor delay requests.
const MAX_BUFFERED_LINES: usize = 2_048;

/// Starts logging in JSON to standard output at this level. Logging never blocks on the reader. Further calls
/// have no effect.
pub fn start_stdout(level: &str) {
    let level_filter = level.parse().unwrap_or(Level::Info);
    let append = AsyncBuilder::new("log")
        .buffered_lines_limit(Some(MAX_BUFFERED_LINES))
        .overflow_drop_incoming()
        .append(Stdout::default().with_layout(layout(LogFormat::Json)))
        .build();
    let logger = core::builder()
        .dispatch(|d| d.filter(filter(level_filter)).filter(RateLimit::default()).append(append))
        .build();
    install(LogBridge::new(logger), level);
}

/// Starts logging to standard error. Further calls have no effect.
pub fn start(log: &Log) {
    let level = log.level.parse().unwrap_or(Level::Info);
    let logger = core::builder()
        .dispatch(|d| {
            d.filter(filter(level)).append(Stderr::default().with_layout(layout(log.format)))
        })
        .build();
    install(LogBridge::new(logger), &log.level);
}

fn install(bridge: LogBridge, level: &str) {
    if log::set_boxed_logger(Box::new(bridge)).is_ok() {
        log::set_max_level(level.parse().unwrap_or(log::LevelFilter::Info));
    }
}

/// Returns a filter that passes warnings of libraries only at level `debug`. Libraries log single events, such
/// as a failed connection, and in an outage these would outnumber the lines on changes of state.
fn filter(level: Level) -> RustLogFilter {
    let libraries = match level {
        Level::Debug => LevelFilter::MoreSevereEqual(Level::Warn),
        _ => LevelFilter::Off,
    };
    RustLogFilterBuilder::default()
        .filter_level(libraries)
        .filter_module(OWN_TARGETS, LevelFilter::MoreSevereEqual(level))
        .build()
}

fn layout(format: LogFormat) -> Box<dyn Layout> {
    match format {
        LogFormat::Json => Box::new(JsonLayout::default()),
        LogFormat::Text => Box::new(TextLayout::default().no_color()),
    }
}
