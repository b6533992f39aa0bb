//! Generation of traces from a seed: arrivals of jobs and a disruption.

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

/// Disruption in addition to the ordinary arrivals. Bursts, cancellations, outages and faults of
/// workers start in the middle of the trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TraceDisruption {
    /// No disruption.
    None,
    /// 400 small jobs within 5 min.
    SmallBurst,
    /// 12 of the largest gangs within 5 min.
    LargeBurst,
    /// Declared run times that are wrong by a factor of up to ten in either direction, in the whole
    /// trace.
    WrongDeclarations,
    /// Cancellations of half of the jobs of the last 6 h, within 2 min.
    Cancellations,
    /// A failure domain that is taken out of service, loses power and returns.
    DomainOut,
    /// Workers that fail all tasks, and jobs that fail on all workers.
    FaultyWorkers,
}

/// Parameters of a generated trace.
#[derive(Clone, Copy, Debug)]
pub struct TraceRecipe {
    /// Workers, teams and classes of work.
    pub deployment: DeploymentKind,
    /// Disruption in addition to the arrivals.
    pub disruption: TraceDisruption,
    /// Length of the trace in hours.
    pub hours: u64,
    /// Offered accelerator-hours in percent of those of the workers.
    pub load_percent: u64,
    /// Seed of all random draws.
    pub seed: u64,
}

struct TraceGenerator {
    recipe: TraceRecipe,
    rng: Rng,
    trace: TraceFile,
}

impl TraceGenerator {
    /// Draws from a range with a bias towards small numbers, because sizes and run times are
    /// long-tailed.
    fn draw_skewed(&mut self, low: u64, high: u64) -> u64 {
        let share = self.rng.f64().powi(2);
        low + ((high - low + 1) as f64 * share) as u64
    }

    fn draw_team(&mut self) -> String {
        let teams = self.recipe.deployment.teams();
        let total: u32 = teams.iter().map(|(_, weight, _)| weight).sum();
        let mut remainder = self.rng.u32(0..total);
        for (name, weight, _) in teams {
            if remainder < weight {
                return name;
            }
            remainder -= weight;
        }
        unreachable!("the number is below the sum of the weights")
    }

    fn draw_job(&mut self, class: &WorkClass) -> TraceJob {
        let (low, high) = class.members;
        let members = self
            .draw_skewed(u64::from(low), u64::from(high))
            .min(u64::from(high));
        let run_ms = self.draw_skewed(
            class.run_minutes.0 * MINUTE_MS,
            class.run_minutes.1 * MINUTE_MS,
        );
        let is_misdeclared = self.recipe.disruption == TraceDisruption::WrongDeclarations;
        let factor = if is_misdeclared {
            10_f64.powf(self.rng.f64() * 2.0 - 1.0)
        } else {
            1.0 + self.rng.f64() * 0.5
        };
        let sizes = class.sizes();
        let size = sizes[self.rng.usize(0..sizes.len())];
        TraceJob {
            team: self.draw_team().as_str().into(),
            service: class.service_name(size),
            members: members as u32,
            declared_ms: (run_ms as f64 * factor) as u64,
            actual_ms: run_ms,
            faulty: false,
        }
    }

    fn push(&mut self, at_ms: u64, input: TraceInput) {
        self.trace.events.push(TraceEvent { at_ms, input });
    }

    /// Adds arrivals until the class has offered its share of the accelerator-hours. For
    /// [`DeploymentKind::Target`] the share is one of the slot-hours, because most of its work
    /// needs no accelerator.
    fn add_arrivals(&mut self, class: &WorkClass) {
        let workers = self.trace.workers();
        let is_target = self.recipe.deployment == DeploymentKind::Target;
        let weight = |demand: &ResourceDemand| {
            u64::from(if is_target {
                demand.slots
            } else {
                demand.accelerators
            })
        };
        let capacity: u64 = workers.iter().map(|info| weight(&info.capacity)).sum();
        let span_ms = self.recipe.hours * HOUR_MS;
        let mut unoffered =
            capacity * span_ms / 100_000 * self.recipe.load_percent / 100 * class.load_share;
        while unoffered > 0 {
            let job = self.draw_job(class);
            let member = ResourceDemand {
                slots: 1,
                accelerators: member_accelerators(&job).max(1),
                ..ResourceDemand::default()
            };
            let work = job.actual_ms * u64::from(job.members) * weight(&member);
            unoffered = unoffered.saturating_sub(work);
            let at_ms = self.draw_arrival(class, span_ms);
            self.push(at_ms, TraceInput::Submit(job));
        }
    }

    /// Draws an arrival time by rejection sampling: arrivals by day (7 to 19 h) are twice as
    /// frequent as arrivals by night, unless the class has restricted arrival hours.
    fn draw_arrival(&mut self, class: &WorkClass, span_ms: u64) -> u64 {
        loop {
            let at_ms = self.rng.u64(0..span_ms);
            let hour = at_ms % DAY_MS / HOUR_MS;
            let is_accepted = (7..19).contains(&hour) || self.rng.bool();
            if (class.arrival_hours.0..class.arrival_hours.1).contains(&hour)
                && (is_accepted || class.arrival_hours.1 < 24)
            {
                return at_ms;
            }
        }
    }

    fn largest_class(&self) -> &'static WorkClass {
        &self.recipe.deployment.classes()[0]
    }

    fn add_disruption(&mut self) {
        let middle_ms = self.recipe.hours * HOUR_MS / 2;
        let domain = self.recipe.deployment.domains()[0].1;
        match self.recipe.disruption {
            TraceDisruption::None | TraceDisruption::WrongDeclarations => {}
            TraceDisruption::SmallBurst => {
                let classes = self.recipe.deployment.classes();
                for number in 0..400 {
                    let class = &classes[classes.len() - 1 - number % 2];
                    let job = self.draw_job(class);
                    let at_ms = middle_ms + self.rng.u64(0..5 * MINUTE_MS);
                    self.push(at_ms, TraceInput::Submit(job));
                }
            }
            TraceDisruption::LargeBurst => {
                for _ in 0..12 {
                    let class = self.largest_class();
                    let mut job = self.draw_job(class);
                    job.members = class.members.1;
                    job.service = class.service_name(class.accelerators.1);
                    let at_ms = middle_ms + self.rng.u64(0..5 * MINUTE_MS);
                    self.push(at_ms, TraceInput::Submit(job));
                }
            }
            TraceDisruption::Cancellations => self.add_cancellations(middle_ms),
            TraceDisruption::DomainOut => self.add_domain_outage(middle_ms, domain),
            TraceDisruption::FaultyWorkers => self.add_faults(middle_ms, domain),
        }
    }

    /// Cancels every second job of the 6 h before `middle_ms`.
    fn add_cancellations(&mut self, middle_ms: u64) {
        self.trace.events.sort_by_key(|event| event.at_ms);
        let window_ms = middle_ms.saturating_sub(6 * HOUR_MS)..middle_ms;
        let jobs: Vec<usize> = self
            .trace
            .events
            .iter()
            .enumerate()
            .filter(|(_, event)| window_ms.contains(&event.at_ms))
            .map(|(number, _)| number)
            .collect();
        for job in jobs.into_iter().step_by(2) {
            let at_ms = middle_ms + self.rng.u64(0..2 * MINUTE_MS);
            self.push(at_ms, TraceInput::Cancel { job });
        }
    }

    /// Takes a failure domain out of service for 90 min. Its power fails 15 min after the start and
    /// returns an hour later.
    fn add_domain_outage(&mut self, middle_ms: u64, domain: &str) {
        let power = |up| TraceInput::Power {
            domain: domain.into(),
            up,
        };
        let domain_event = |out| TraceInput::Domain {
            domain: domain.into(),
            out,
        };
        self.push(middle_ms, domain_event(true));
        self.push(middle_ms + 15 * MINUTE_MS, power(false));
        self.push(middle_ms + 75 * MINUTE_MS, power(true));
        self.push(middle_ms + 90 * MINUTE_MS, domain_event(false));
    }

    /// Makes every eighth worker of a failure domain faulty for 3 h, and every 40th job
    /// permanently.
    fn add_faults(&mut self, middle_ms: u64, domain: &str) {
        let workers = self.trace.workers();
        let faulty = workers.iter().filter(|info| info.domain.as_str() == domain);
        for info in faulty.step_by(8) {
            for (at_ms, faulty) in [(middle_ms, true), (middle_ms + 3 * HOUR_MS, false)] {
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

/// Returns the accelerators of a member, which are the suffix of the service's name.
fn member_accelerators(job: &TraceJob) -> u32 {
    let size = job.service.as_str().rsplit('-').next();
    size.and_then(|size| size.parse().ok()).unwrap_or(0)
}

/// Generates a trace. The result depends on the recipe alone.
#[must_use]
pub fn generate(recipe: TraceRecipe) -> TraceFile {
    let mut generator = TraceGenerator {
        recipe,
        rng: Rng::with_seed(recipe.seed),
        trace: TraceFile {
            groups: recipe.deployment.groups(),
            teams: team_files(recipe.deployment),
            events: Vec::new(),
        },
    };
    for class in recipe.deployment.classes() {
        generator.add_arrivals(class);
    }
    generator.add_disruption();
    generator.trace.events.sort_by_key(|event| event.at_ms);
    generator.trace
}
