//! Deficit round robin over teams, earliest deadline first within one.

use std::collections::{BTreeMap, VecDeque};

use dotterellane_units::{ClockInstant, TeamId};

/// Something that waits for its turn.
#[derive(Clone, Debug)]
struct QueuedItem<T> {
    item: T,
    cost: u64,
    deadline: ClockInstant,
    number: u64,
}

#[derive(Clone, Debug)]
struct TeamQueue<T> {
    /// Ordered by deadline, then arrival.
    items: VecDeque<QueuedItem<T>>,
    deficit: u64,
    /// Whether the team got its quantum in this round already.
    credited: bool,
}

/// A queue that serves teams in turn, each by the same cost.
///
/// After M. Shreedhar and G. Varghese, "Efficient fair queuing using deficit round robin": while
/// two teams both wait, what they are served differs by at most a quantum and the largest cost.
#[derive(Clone, Debug)]
pub struct DeficitQueue<T> {
    quantum: u64,
    teams: BTreeMap<TeamId, TeamQueue<T>>,
    turns: VecDeque<TeamId>,
    next_number: u64,
    len: usize,
}

impl<T> DeficitQueue<T> {
    /// Starts empty; `quantum` is the cost that a team is served in one turn, at least 1.
    pub fn new(quantum: u64) -> Self {
        Self {
            quantum: quantum.max(1),
            teams: BTreeMap::new(),
            turns: VecDeque::new(),
            next_number: 0,
            len: 0,
        }
    }

    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds an item of `team`.
    pub fn push(&mut self, team: &TeamId, cost: u64, deadline: ClockInstant, item: T) {
        if !self.teams.contains_key(team) {
            let queue = TeamQueue { items: VecDeque::new(), deficit: 0, credited: false };
            self.teams.insert(team.clone(), queue);
            self.turns.push_back(team.clone());
        }
        let number = self.next_number;
        self.next_number += 1;
        if let Some(queue) = self.teams.get_mut(team) {
            let place = queue.items.partition_point(|queued| queued.deadline <= deadline);
            queue.items.insert(place, QueuedItem { item, cost, deadline, number });
            self.len += 1;
        }
    }

    /// Removes and returns the item whose turn it is.
    pub fn pop(&mut self) -> Option<(TeamId, T)> {
        self.pop_if(|_| true)
    }

    /// Removes and returns the first item in turn that `fits`; a team whose items do not fit
    /// keeps its turn for the next call.
    pub fn pop_if<F>(&mut self, mut fits: F) -> Option<(TeamId, T)>
    where
        F: FnMut(&T) -> bool,
    {
        let mut unfit = 0;
        while unfit < self.turns.len() {
            let team = self.turns.front()?.clone();
            let queue = self.teams.get_mut(&team)?;
            let Some(place) = queue.items.iter().position(|queued| fits(&queued.item)) else {
                self.turns.rotate_left(1);
                unfit += 1;
                continue;
            };
            if !queue.credited {
                queue.credited = true;
                queue.deficit = queue.deficit.saturating_add(self.quantum);
            }
            if queue.items[place].cost > queue.deficit {
                queue.credited = false;
                self.turns.rotate_left(1);
                unfit = 0;
                continue;
            }
            let queued = queue.items.remove(place)?;
            queue.deficit -= queued.cost;
            self.len -= 1;
            self.drop_if_empty(&team);
            return Some((team, queued.item));
        }
        None
    }

    /// Removes and returns the items that `removed` picks, in order of arrival.
    pub fn remove_if<F>(&mut self, mut removed: F) -> Vec<(TeamId, T)>
    where
        F: FnMut(&T, ClockInstant) -> bool,
    {
        let mut picked = Vec::new();
        for (team, queue) in &mut self.teams {
            for _ in 0..queue.items.len() {
                let Some(queued) = queue.items.pop_front() else { break };
                if removed(&queued.item, queued.deadline) {
                    picked.push((queued.number, team.clone(), queued.item));
                } else {
                    queue.items.push_back(queued);
                }
            }
        }
        picked.sort_by_key(|(number, _, _)| *number);
        self.len -= picked.len();
        for (_, team, _) in &picked {
            self.drop_if_empty(team);
        }
        picked.into_iter().map(|(_, team, item)| (team, item)).collect()
    }

    /// Returns the cost that is served before an item of `team` with `cost` that came now, at
    /// most: what the team itself has queued before it, and as much for every other team.
    pub fn cost_ahead(&self, team: &TeamId, deadline: ClockInstant) -> u64 {
        let own = self.teams.get(team).map_or(0, |queue| {
            let before = queue.items.iter().take_while(|queued| queued.deadline <= deadline);
            before.map(|queued| queued.cost).sum()
        });
        let others = self.teams.iter().filter(|(other, _)| *other != team);
        let ahead = others.map(|(_, queue)| {
            let queued: u64 = queue.items.iter().map(|queued| queued.cost).sum();
            queued.min(own + self.quantum)
        });
        own + ahead.sum::<u64>()
    }

    fn drop_if_empty(&mut self, team: &TeamId) {
        if self.teams.get(team).is_some_and(|queue| queue.items.is_empty()) {
            self.teams.remove(team);
            self.turns.retain(|turn| turn != team);
        }
    }
}
