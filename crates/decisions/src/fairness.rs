//! Fair queue: deficit round robin over teams, earliest deadline first within a team.

use std::collections::{BTreeMap, VecDeque};

use dotterellane_units::{ClockInstant, TeamId};

/// An item with its cost and deadline; `number` is its position in the order of arrival.
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
    /// Cost that the team may still use before its turn ends.
    deficit: u64,
    /// Whether the team already got its quantum in this round.
    credited: bool,
}

/// A queue that gives every waiting team the same cost per round.
///
/// After M. Shreedhar and G. Varghese, "Efficient fair queuing using deficit round robin": while
/// two teams both have items queued, the costs served to them differ by at most the quantum plus
/// the largest cost of an item.
#[derive(Clone, Debug)]
pub struct DeficitQueue<T> {
    quantum: u64,
    teams: BTreeMap<TeamId, TeamQueue<T>>,
    /// Teams with queued items, in the order in which they are served.
    turns: VecDeque<TeamId>,
    next_number: u64,
    len: usize,
}

impl<T> DeficitQueue<T> {
    /// Creates an empty queue; `quantum` is the cost that a team may use per round, at least 1.
    pub fn new(quantum: u64) -> Self {
        Self {
            quantum: quantum.max(1),
            teams: BTreeMap::new(),
            turns: VecDeque::new(),
            next_number: 0,
            len: 0,
        }
    }

    /// Returns the number of queued items of all teams.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no item is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Queues an item of `team` behind its items with the same or an earlier deadline.
    pub fn push(&mut self, team: &TeamId, cost: u64, deadline: ClockInstant, item: T) {
        if !self.teams.contains_key(team) {
            let queue = TeamQueue { items: VecDeque::new(), deficit: 0, credited: false };
            self.teams.insert(team.clone(), queue);
            self.turns.push_back(team.clone());
        }
        let number = self.next_number;
        self.next_number += 1;
        if let Some(queue) = self.teams.get_mut(team) {
            let index = queue.items.partition_point(|queued| queued.deadline <= deadline);
            queue.items.insert(index, QueuedItem { item, cost, deadline, number });
            self.len += 1;
        }
    }

    /// Removes and returns the next item with its team.
    pub fn pop(&mut self) -> Option<(TeamId, T)> {
        self.pop_if(|_| true)
    }

    /// Removes and returns the next item that `fits`; a team without one is skipped and keeps its
    /// deficit.
    pub fn pop_if<F>(&mut self, mut fits: F) -> Option<(TeamId, T)>
    where
        F: FnMut(&T) -> bool,
    {
        let mut skipped = 0;
        while skipped < self.turns.len() {
            let team = self.turns.front()?.clone();
            let queue = self.teams.get_mut(&team)?;
            let Some(index) = queue.items.iter().position(|queued| fits(&queued.item)) else {
                self.turns.rotate_left(1);
                skipped += 1;
                continue;
            };
            if !queue.credited {
                queue.credited = true;
                queue.deficit = queue.deficit.saturating_add(self.quantum);
            }
            if queue.items[index].cost > queue.deficit {
                queue.credited = false;
                self.turns.rotate_left(1);
                skipped = 0;
                continue;
            }
            let queued = queue.items.remove(index)?;
            queue.deficit -= queued.cost;
            self.len -= 1;
            self.drop_if_empty(&team);
            return Some((team, queued.item));
        }
        None
    }

    /// Removes the items for which `removed` holds and returns them in order of arrival.
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

    /// Returns an upper bound on the cost served before an item of `team` that is queued now.
    ///
    /// The bound is the cost of the team's own items with the same or an earlier deadline, plus
    /// for every other team what it has queued, but at most that cost and one quantum.
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
