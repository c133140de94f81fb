// The overview: the state of the fleet as one host sees it.

import { make } from "./console.js";

const GIB = 2 ** 30;
// Share of the whole from which a bar is shown as nearly full, and as full.
const NEARLY_FULL = 0.8;
const FULL = 1;
// Idle models shown by name; a fleet may hold thousands.
const MAX_IDLE_TILES = 120;

// A bar of a bound: its colour tells how near the bound is.
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

function seconds(value) { return value >= 10 ? `${value.toFixed(0)} s` : `${value.toFixed(1)} s`; }

function teamsPanel({ teams }) {
  const bars = teams.map((team) => boundBar(team.team, team.used, team.rate, `${Math.round(team.used)} / ${Math.round(team.rate)}`));
  return panel("Teams: tokens a second against rate", "", ...(bars.length ? bars : [empty("No teams yet.")]));
}

function modelsPanel({ models }) {
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
    make("div", { className: "tiles" }, ...tiles), hidden ? empty(`and ${hidden} idle models more`) : null);
}

function runnersPanel({ runners }) {
  const draw = (list) => make("div", {}, ...list.map((runner) => {
    const mark = runner.answers ? (runner.leaving ? " (leaving)" : "") : " (silent)";
    return boundBar(runner.runner + mark, runner.used, runner.memory, `${(runner.used / GIB).toFixed(0)} / ${(runner.memory / GIB).toFixed(0)} GiB`);
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
  const longest = Math.max(cold.p99_seconds, 0.001);
  const line = (name, value) => bar(name, value / longest, seconds(value));
  return panel("Cold starts", "", ...(cold.count ? [line("half within", cold.p50_seconds), line("95 in 100", cold.p95_seconds), line("99 in 100", cold.p99_seconds)] : [empty("None so far.")]));
}

function refusalsPanel({ refusals }) {
  const most = Math.max(1, ...refusals.map((refusal) => refusal.count));
  const bars = refusals.filter((refusal) => refusal.count > 0).map((refusal) => bar(refusal.cause, refusal.count / most, String(refusal.count)));
  return panel("Refusals by cause", "", ...(bars.length ? bars : [empty("None so far.")]));
}

export function drawOverview(main, overview) {
  const { table, teams, hosts, models, cold_starts: cold } = overview;
  const ago = table.answered_ago_seconds === null ? "never answered" : `answered ${seconds(table.answered_ago_seconds)} ago`;
  const alive = hosts.filter((host) => host.alive).length;
  const inRate = teams.reduce((sum, team) => sum + team.refused_in_rate, 0);
  const figures = make("div", { className: "figures" },
    figure(`${alive} / ${hosts.length}`, "hosts heard"),
    figure(`${models.filter((model) => model.state === "loaded").length} / ${models.length}`, "models loaded"),
    figure(String(inRate), "refused inside the rate"),
    figure(cold.count ? seconds(cold.p95_seconds) : "–", "cold start, 95 in 100"),
    figure(table.reachable ? "up" : "down", `table, ${ago}`));
  const warning = table.reachable ? null : make("div", { className: "notice bad", role: "alert" }, "The table does not answer: no change can be accepted. Requests go on.");
  const panels = make("div", { className: "panels" },
    make("div", { className: "column" }, teamsPanel(overview), coldPanel(overview), refusalsPanel(overview)),
    make("div", { className: "column" }, runnersPanel(overview)),
    modelsPanel(overview), hostsPanel(overview));
  main.replaceChildren(...[make("h1", {}, "Overview"), warning, figures, panels].filter(Boolean));
}
