//! `admission`: limits the requests of a route or an account, through the platform's store.

use {
    super::runtime,
    crate::{
        admission::{LimitReport, LimitStore},
        error::{Exit, Result},
        options::{AdmissionCommand, AdmissionOptions},
        output::print,
        settings,
    },
    bilberryfront_decide::admission::throttle::Limit,
    bilberryfront_platform::{RowCodec, RowStore},
    jiff::Timestamp,
    tokio::task::LocalSet,
};

/// Runs `limit`, `list` or `lift`.
pub fn run(options: &AdmissionOptions) -> Result<Exit> {
    let address = settings::relay::load(&options.settings)?.store;
    let execute = async {
        let store = LimitStore { store: RowStore::new(address), records: RowCodec, address };
        execute(&store, options).await
    };
    LocalSet::new().block_on(&runtime()?, execute)
}

async fn execute(
    store: &LimitStore<RowStore, RowCodec>,
    options: &AdmissionOptions,
) -> Result<Exit> {
    let output = options.format.output();
    let now = u64::try_from(Timestamp::now().as_millisecond()).unwrap_or_default();
    match &options.command {
        AdmissionCommand::Limit { key, share, time, reason } => {
            let millis = u64::try_from(time.as_millis()).unwrap_or_default();
            let limit = Limit {
                service: key.service.clone(),
                subject: key.subject.clone(),
                share: *share,
                until: now + millis,
                reason: reason.clone(),
            };
            store.limit(&limit, now).await?;
            let report = LimitReport::new(&limit).expect("a limit of at most a day has an end");
            print(&output.limited(&report));
        }
        AdmissionCommand::List => {
            let (limits, ignored) = store.list(now).await?;
            for row in ignored {
                eprintln!("row {} is ignored by the instances: {}", row.key, row.reason);
            }
            print(&output.limits(&limits));
        }
        AdmissionCommand::Lift(key) => {
            store.lift(key).await?;
            print(&output.lifted(key));
        }
    }
    Ok(Exit::Done)
}
