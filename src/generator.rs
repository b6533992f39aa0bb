//! Traces from a seed: arrivals of work and disruptions.

use fastrand::Rng;

use crate::trace::TraceEvent;
use crate::trace::TraceFile;
use crate::trace::TraceInput;
use crate::trace::TraceJob;
use crate::workload::DeploymentKind;
use crate::workload::WorkClass;
use crate::workload::team_files;
use mustardpath_core::config::ResourceDemand;

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;
const DAY_MS: u64 = 24 * HOUR_MS;

/// What happens beside the ordinary arrivals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disruption {
    /// Nothing.
    None,
    /// Hundreds of small jobs within a few minutes.
    SmallBurst,
    /// Several of the largest gangs within a few minutes.
    LargeBurst,
    /// Run times declared wrong by up to ten times either way.
    WrongDeclarations,
    /// Half of the jobs in the queue and in flight cancelled at once.
    Cancellations,
    /// A failure domain goes out, loses power and returns.
    DomainOut,
    /// Workers that fail every task, and jobs that fail everywhere.
    FaultyWorkers,
}

/// How a trace is made.
#[derive(Clone, Copy, Debug)]
pub struct TraceRecipe {
    /// Workers and teams.
    pub deployment: DeploymentKind,
    /// What happens beside the arrivals.
    pub disruption: Disruption,
    /// Length of the arrivals.
    pub hours: u64,
    /// Offered accelerator-hours against those of the workers, in percent.
    pub load_percent: u64,
    /// Seed.
    pub seed: u64,
}

/// The making of one trace.
struct TraceMaker {
    recipe: TraceRecipe,
    rng: Rng,
    trace: TraceFile,
}

impl TraceMaker {
    /// Draws from a range, small numbers more often: sizes and run times have long tails.
    fn skewed(&mut self, low: u64, high: u64) -> u64 {
        let share = self.rng.f64().powi(2);
        low + ((high - low + 1) as f64 * share) as u64
    }

    fn pick_team(&mut self) -> String {
        let teams = self.recipe.deployment.teams();
        let total: u32 = teams.iter().map(|(_, weight, _)| weight).sum();
        let mut left = self.rng.u32(0..total);
        for (name, weight, _) in teams {
            if left < weight {
                return name;
            }
            left -= weight;
        }
        unreachable!("the number lies below the sum of the weights")
    }

    fn draw_job(&mut self, class: &WorkClass) -> TraceJob {
        let (low, high) = class.members;
        let members = self
            .skewed(u64::from(low), u64::from(high))
            .min(u64::from(high));
        let actual = self.skewed(class.minutes.0 * MINUTE_MS, class.minutes.1 * MINUTE_MS);
        let wrong = self.recipe.disruption == Disruption::WrongDeclarations;
        let factor = if wrong {
            10_f64.powf(self.rng.f64() * 2.0 - 1.0)
        } else {
            1.0 + self.rng.f64() * 0.5
        };
        let sizes = class.sizes();
        let size = sizes[self.rng.usize(0..sizes.len())];
        TraceJob {
            team: self.pick_team().as_str().into(),
            service: class.service_of(size),
            members: members as u32,
            declared_ms: (actual as f64 * factor) as u64,
            actual_ms: actual,
            faulty: false,
        }
    }

    fn push(&mut self, at_ms: u64, input: TraceInput) {
        self.trace.events.push(TraceEvent { at_ms, input });
    }

    /// Adds arrivals until the class has offered its share of the accelerator-hours. At the
    /// target size the share is one of worker slots, because most work needs no accelerator.
    fn add_arrivals(&mut self, class: &WorkClass) {
        let workers = self.trace.workers();
        let target = self.recipe.deployment == DeploymentKind::Target;
        let weight = |demand: &ResourceDemand| {
            u64::from(if target {
                demand.slots
            } else {
                demand.accelerators
            })
        };
        let whole: u64 = workers.iter().map(|info| weight(&info.capacity)).sum();
        let span = self.recipe.hours * HOUR_MS;
        let mut left = whole * span / 100_000 * self.recipe.load_percent / 100 * class.share;
        while left > 0 {
            let job = self.draw_job(class);
            let each = ResourceDemand {
                slots: 1,
                accelerators: size_of(&job).max(1),
                ..ResourceDemand::default()
            };
            let work = job.actual_ms * u64::from(job.members) * weight(&each);
            left = left.saturating_sub(work);
            let at_ms = self.arrival(class, span);
            self.push(at_ms, TraceInput::Submit(job));
        }
    }

    /// Draws a time of arrival. Work by day is twice as frequent as work by night.
    fn arrival(&mut self, class: &WorkClass, span: u64) -> u64 {
        loop {
            let at_ms = self.rng.u64(0..span);
            let hour = at_ms % DAY_MS / HOUR_MS;
            let by_day = (7..19).contains(&hour) || self.rng.bool();
            if (class.hours.0..class.hours.1).contains(&hour) && (by_day || class.hours.1 < 24) {
                return at_ms;
            }
        }
    }

    fn largest_class(&self) -> &'static WorkClass {
        &self.recipe.deployment.classes()[0]
    }

    fn disrupt(&mut self) {
        let middle = self.recipe.hours * HOUR_MS / 2;
        let domain = self.recipe.deployment.domains()[0].1;
        match self.recipe.disruption {
            Disruption::None | Disruption::WrongDeclarations => {}
            Disruption::SmallBurst => {
                let classes = self.recipe.deployment.classes();
                for number in 0..400 {
                    let class = &classes[classes.len() - 1 - number % 2];
                    let job = self.draw_job(class);
                    let at_ms = middle + self.rng.u64(0..5 * MINUTE_MS);
                    self.push(at_ms, TraceInput::Submit(job));
                }
            }
            Disruption::LargeBurst => {
                for _ in 0..12 {
                    let class = self.largest_class();
                    let mut job = self.draw_job(class);
                    job.members = class.members.1;
                    job.service = class.service_of(class.accelerators.1);
                    let at_ms = middle + self.rng.u64(0..5 * MINUTE_MS);
                    self.push(at_ms, TraceInput::Submit(job));
                }
            }
            Disruption::Cancellations => self.cancel_half(middle),
            Disruption::DomainOut => self.take_out(middle, domain),
            Disruption::FaultyWorkers => self.make_faulty(middle, domain),
        }
    }

    /// Cancels every second job that was submitted in the hours before.
    fn cancel_half(&mut self, middle: u64) {
        self.trace.events.sort_by_key(|event| event.at_ms);
        let recent = middle.saturating_sub(6 * HOUR_MS)..middle;
        let jobs: Vec<usize> = self
            .trace
            .events
            .iter()
            .enumerate()
            .filter(|(_, event)| recent.contains(&event.at_ms))
            .map(|(number, _)| number)
            .collect();
        for job in jobs.into_iter().step_by(2) {
            let at_ms = middle + self.rng.u64(0..2 * MINUTE_MS);
            self.push(at_ms, TraceInput::Cancel { job });
        }
    }

    /// Takes a failure domain out; its power goes 15 min later and returns after an hour.
    fn take_out(&mut self, middle: u64, domain: &str) {
        let power = |up| TraceInput::Power {
            domain: domain.into(),
            up,
        };
        let service = |out| TraceInput::Domain {
            domain: domain.into(),
            out,
        };
        self.push(middle, service(true));
        self.push(middle + 15 * MINUTE_MS, power(false));
        self.push(middle + 75 * MINUTE_MS, power(true));
        self.push(middle + 90 * MINUTE_MS, service(false));
    }

    /// Makes every eighth worker of a domain fail for 3 h, and every 40th job faulty.
    fn make_faulty(&mut self, middle: u64, domain: &str) {
        let workers = self.trace.workers();
        let faulty = workers.iter().filter(|info| info.domain.as_str() == domain);
        for info in faulty.step_by(8) {
            for (at_ms, faulty) in [(middle, true), (middle + 3 * HOUR_MS, false)] {
                let worker = info.worker.clone();
                self.push(at_ms, TraceInput::Faulty { worker, faulty });
            }
        }
        for event in self.trace.events.iter_mut().step_by(40) {
            if let TraceInput::Submit(job) = &mut event.input {
                job.faulty = true;
            }
        }
    }
}

/// Returns the accelerators of a member, which end the service's name.
fn size_of(job: &TraceJob) -> u32 {
    let size = job.service.as_str().rsplit('-').next();
    size.and_then(|size| size.parse().ok()).unwrap_or(0)
}

/// Makes a trace. The same recipe always gives the same trace.
#[must_use]
pub fn generate(recipe: TraceRecipe) -> TraceFile {
    let mut maker = TraceMaker {
        recipe,
        rng: Rng::with_seed(recipe.seed),
        trace: TraceFile {
            groups: recipe.deployment.groups(),
            teams: team_files(recipe.deployment),
            events: Vec::new(),
        },
    };
    for class in recipe.deployment.classes() {
        maker.add_arrivals(class);
    }
    maker.disrupt();
    maker.trace.events.sort_by_key(|event| event.at_ms);
    maker.trace
}
