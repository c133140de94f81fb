// Overview page: the state of the fleet as one host knows it.

import { make } from "./console.js";

const GIB = 2 ** 30;
// Fractions of the maximum from which a bar is coloured as nearly full and as full.
const NEARLY_FULL = 0.8;
const FULL = 1;
// Maximum number of idle models shown by name; a fleet may have thousands.
const MAX_IDLE_TILES = 120;

// Returns a usage bar whose colour shows how close the value is to its maximum.
function boundBar(name, part, whole, amount) {
  const share = whole > 0 ? part / whole : 0;
  return bar(name, share, amount, share >= FULL ? "bad" : share >= NEARLY_FULL ? "busy" : "");
}

function bar(name, share, amount, className = "") {
  const fill = make("i", { className });
  fill.style.width = `${Math.min(100, 100 * share)}%`;
  return make("div", { className: "bar-line" }, make("span", { className: "name", title: name }, name),
    make("div", { className: "bar", role: "img", "aria-label": `${name}: ${amount}` }, fill), make("span", { className: "amount" }, amount));
}

function panel(title, className, ...children) {
  return make("section", { className: `sheet ${className}` }, make("h2", {}, title), ...children);
}

function figure(value, text) {
  return make("div", { className: "figure" }, make("b", {}, value), make("span", {}, text));
}

function empty(text) { return make("p", { className: "hint" }, text); }

function byDomain(items, draw) {
  const domains = [...new Set(items.map((item) => item.domain))].sort();
  return domains.map((domain) => make("div", { className: "domain" }, make("h3", {}, domain), draw(items.filter((item) => item.domain === domain))));
}

const UNKNOWN = "unknown";

function known(value, text) { return value === null || value === undefined ? "?" : text(value); }

function seconds(value) { return value >= 10 ? `${value.toFixed(0)} s` : `${value.toFixed(1)} s`; }

function teamsPanel({ teams }) {
  const bars = teams.map((team) => boundBar(team.team, team.used ?? 0, team.rate, `${known(team.used, Math.round)} / ${Math.round(team.rate)}`));
  return panel("Teams: tokens per second against rate", "", ...(bars.length ? bars : [empty("No teams yet.")]));
}

function modelsPanel({ models }) {
  if (!models) return panel("Models", "wide", empty("This host does not know the state of the models."));
  const count = (state) => models.filter((model) => model.state === state).length;
  const shown = (state) => models.filter((model) => model.state === state).slice(0, state === "idle" ? MAX_IDLE_TILES : undefined);
  const hidden = Math.max(0, count("idle") - MAX_IDLE_TILES);
  const tiles = ["loaded", "loading", "idle"].flatMap((state) => shown(state).map((model) => {
    const replicas = model.loaded_on.length ? ` ×${model.loaded_on.length}` : "";
    const waiting = model.waiting ? `, ${model.waiting} waiting` : "";
    const where = [...model.loaded_on, ...model.loading_on].join(", ") || "no replica";
    return make("span", { className: `tile ${state}`, title: `${state}: ${where}; ${model.decided} slots` }, model.model + replicas + waiting);
  }));
  return panel("Models", "wide", make("p", { className: "legend" }, `${count("loaded")} loaded, ${count("loading")} loading, ${count("idle")} idle`),
    make("div", { className: "tiles" }, ...tiles), hidden ? empty(`and ${hidden} more idle models`) : null);
}

function runnersPanel({ runners }) {
  const draw = (list) => make("div", {}, ...list.map((runner) => {
    const mark = runner.answers === false ? " (silent)" : runner.leaving ? " (leaving)" : "";
    const used = known(runner.used, (bytes) => (bytes / GIB).toFixed(0));
    return boundBar(runner.runner + mark, runner.used ?? 0, runner.memory, `${used} / ${(runner.memory / GIB).toFixed(0)} GiB`);
  }));
  return panel("Runners' memory", "", ...(runners.length ? byDomain(runners, draw) : [empty("No runners yet.")]));
}

function hostsPanel({ hosts }) {
  const draw = (list) => make("div", { className: "tiles" }, ...list.map((host) => {
    const [className, text] = !host.alive ? ["bad", "silent"] : host.leaving ? ["loading", "leaving"] : ["loaded", "serving"];
    return make("span", { className: `tile ${className}` }, `${host.host} ${text}`);
  }));
  return panel("Hosts by failure domain", "wide", hosts.length ? make("div", { className: "domains" }, ...byDomain(hosts, draw)) : empty("No hosts listed."));
}

function coldPanel({ cold_starts: cold }) {
  if (!cold) return panel("Cold starts", "", empty(UNKNOWN));
  const longest = Math.max(cold.p99_seconds, 0.001);
  const line = (name, value) => bar(name, value / longest, seconds(value));
  return panel("Cold starts", "", ...(cold.count ? [line("median", cold.p50_seconds), line("95th percentile", cold.p95_seconds), line("99th percentile", cold.p99_seconds)] : [empty("None so far.")]));
}

function refusalsPanel({ refusals }) {
  if (!refusals) return panel("Refusals by cause", "", empty(UNKNOWN));
  const most = Math.max(1, ...refusals.map((refusal) => refusal.count));
  const bars = refusals.filter((refusal) => refusal.count > 0).map((refusal) => bar(refusal.cause, refusal.count / most, String(refusal.count)));
  return panel("Refusals by cause", "", ...(bars.length ? bars : [empty("None so far.")]));
}

export function drawOverview(main, overview) {
  const { table, teams, hosts, models, cold_starts: cold } = overview;
  const ago = table.answered_ago_seconds === null ? "last answer unknown" : `answered ${seconds(table.answered_ago_seconds)} ago`;
  const alive = hosts.filter((host) => host.alive).length;
  const inRate = teams.some((team) => team.refused_in_rate === null) ? "?" : String(teams.reduce((sum, team) => sum + team.refused_in_rate, 0));
  const loaded = known(models, (list) => `${list.filter((model) => model.state === "loaded").length} / ${list.length}`);
  const cold95 = known(cold, ({ count, p95_seconds: value }) => (count ? seconds(value) : "–"));
  const figures = make("div", { className: "figures" },
    figure(`${alive} / ${hosts.length}`, "hosts alive"),
    figure(loaded, "models loaded"),
    figure(inRate, "refused within the rate"),
    figure(cold95, "cold start, 95th percentile"),
    figure(table.reachable ? "up" : "down", `table, ${ago}`));
  const warning = table.reachable ? null : make("div", { className: "notice bad", role: "alert" }, "The table does not respond: no change can be accepted. Requests are still served.");
  const panels = make("div", { className: "panels" },
    make("div", { className: "column" }, teamsPanel(overview), coldPanel(overview), refusalsPanel(overview)),
    make("div", { className: "column" }, runnersPanel(overview)),
    modelsPanel(overview), hostsPanel(overview));
  main.replaceChildren(...[make("h1", {}, "Overview"), warning, figures, panels].filter(Boolean));
}
