// Entry point of the console: sign-in, page routing, and the working copy of the document.

import { entryForm, sectionEntries } from "./forms.js";
import { drawOverview } from "./overview.js";

const SECTIONS = ["teams", "keys", "models", "adapters", "services", "upstreams", "operators"];
const PROGRESS_MILLIS = 500;
const OVERVIEW_MILLIS = 2000;

// `original` is the document at version `base`; `working` is the copy that the operator edits. `page` is
// incremented on each navigation, so that polling loops of the previous page stop.
const state = { session: null, schema: null, base: null, original: null, working: null, page: 0 };

export function make(tag, properties = {}, ...children) {
  const { dataset, ...rest } = properties;
  const element = document.createElement(tag);
  for (const [name, value] of Object.entries(rest)) {
    if (name in element && name !== "list" && name !== "form") element[name] = value;
    else element.setAttribute(name, value);
  }
  Object.assign(element.dataset, dataset ?? {});
  element.append(...children.filter((child) => child !== null && child !== undefined));
  return element;
}

export async function ask(method, path, body, headers = {}) {
  const options = { method, headers: { ...headers }, credentials: "same-origin" };
  if (body !== undefined) {
    options.body = typeof body === "string" ? body : JSON.stringify(body);
    options.headers["content-type"] = "application/json";
  }
  let response;
  try {
    response = await fetch(path, options);
  } catch {
    return { ok: false, status: 0, body: { message: "the host does not respond" }, version: null };
  }
  const text = await response.text();
  let parsed = null;
  try { parsed = JSON.parse(text); } catch { parsed = text; }
  const version = Number((response.headers.get("etag") ?? "").replaceAll('"', "")) || null;
  if (response.status === 401 && state.session) {
    state.session = null;
    showSignIn("Your key is no longer accepted.");
  }
  return { ok: response.ok, status: response.status, body: parsed, version };
}

const main = document.querySelector("main");
const header = document.querySelector("header");
const pendingBar = document.querySelector(".pending");
const live = document.querySelector(".live");

function say(text) { live.textContent = text; }

function notice(kind, ...children) {
  return make("div", { className: `notice ${kind}`, role: kind === "bad" ? "alert" : "status" }, ...children);
}

function show(...children) {
  main.replaceChildren(...children.filter(Boolean));
}

function mayChange() { return state.session?.role === "all"; }
function mayIssue() { return state.session?.role === "all" || state.session?.role === "keys"; }

function showSignIn(message) {
  header.hidden = true;
  pendingBar.hidden = true;
  const key = make("input", { type: "password", id: "key", autocomplete: "current-password", required: true, placeholder: "do_…" });
  const fault = make("p", { className: "fault", hidden: !message }, message ?? "");
  const form = make("form", { className: "sheet sign-in" },
    make("h1", {}, "dotterellane"),
    make("div", { className: "field" }, make("label", { htmlFor: "key" }, "Operator's key"), key,
      make("p", { className: "hint" }, "It is stored in a cookie that scripts cannot read, for at most 12 hours."), fault),
    make("button", { className: "main", type: "submit" }, "Sign in"));
  form.addEventListener("submit", async (event) => {
    event.preventDefault();
    const answer = await ask("POST", "/v1/session", { key: key.value });
    key.value = "";
    if (answer.ok) return start();
    fault.hidden = false;
    fault.textContent = answer.status === 401 ? "No operator has this key." : answer.body.message;
    key.focus();
  });
  show(form);
  key.focus();
}

async function loadDocument() {
  const answer = await ask("GET", "/v1/configuration?format=json");
  if (!answer.ok) return answer.body.message;
  state.base = answer.version;
  state.original = answer.body;
  state.working = structuredClone(answer.body);
  return null;
}

export function changedPaths() {
  const paths = [];
  for (const section of SECTIONS) {
    const before = state.original?.[section] ?? {};
    const after = state.working?.[section] ?? {};
    for (const id of new Set([...Object.keys(before), ...Object.keys(after)])) {
      if (JSON.stringify(before[id]) !== JSON.stringify(after[id])) paths.push(`${section}.${id}`);
    }
  }
  return paths;
}

function drawPending() {
  const count = changedPaths().length;
  pendingBar.hidden = count === 0;
  if (count === 0) return;
  const discard = make("button", { type: "button" }, "Discard");
  discard.addEventListener("click", () => {
    state.working = structuredClone(state.original);
    drawPending();
    route();
  });
  pendingBar.replaceChildren(
    make("span", {}, `${count} ${count === 1 ? "entry" : "entries"} changed, not sent yet`),
    make("a", { href: "#/review", className: "button" }, "Review and send"), discard);
}

function drawHeader() {
  header.hidden = false;
  const [current] = place();
  const links = ["overview", ...SECTIONS, "history"].map((name) => {
    const link = make("a", { href: `#/${name}` }, name[0].toUpperCase() + name.slice(1));
    if (name === current) link.setAttribute("aria-current", "page");
    return link;
  });
  header.querySelector("nav").replaceChildren(...links);
  header.querySelector("nav [aria-current]")?.scrollIntoView({ block: "nearest", inline: "nearest" });
  const out = make("button", { type: "button" }, "Sign out");
  out.addEventListener("click", async () => {
    await ask("DELETE", "/v1/session");
    state.session = null;
    showSignIn();
  });
  header.querySelector(".who").replaceChildren(`${state.session.operator} (${state.session.role})`, out);
}

function place() {
  const parts = location.hash.replace(/^#\/?/, "").split("/").map(decodeURIComponent);
  return parts[0] ? parts : ["overview"];
}

async function start() {
  const session = await ask("GET", "/v1/session");
  if (!session.ok) return showSignIn();
  state.session = session.body;
  const schema = await ask("GET", "/v1/schema");
  state.schema = schema.body;
  const problem = await loadDocument();
  if (problem) return show(notice("bad", problem));
  route();
}

async function route() {
  if (!state.session) return;
  state.page += 1;
  const page = state.page;
  const [name, id] = place();
  drawHeader();
  drawPending();
  document.title = `${name} · dotterellane`;
  if (name === "overview") return showOverview(page);
  if (name === "history") return showHistory();
  if (name === "review") return showReview();
  if (name === "keys") return showKeys(id);
  if (name === "operators") return showOperators(id);
  if (SECTIONS.includes(name)) return id === undefined ? showSection(name) : showEntry(name, id);
  show(notice("bad", "Page not found."));
}

async function showOverview(page) {
  while (state.page === page && state.session) {
    const answer = await ask("GET", "/v1/overview");
    if (state.page !== page || !state.session) return;
    if (answer.ok) drawOverview(main, answer.body);
    else show(notice("bad", answer.body.message));
    await new Promise((resolve) => setTimeout(resolve, OVERVIEW_MILLIS));
  }
}

function showSection(name) {
  const list = make("div", {});
  const filter = make("input", { type: "search", placeholder: "Filter", "aria-label": `Filter ${name}` });
  const draw = () => list.replaceChildren(sectionEntries(name, state.working[name], filter.value, changedPaths()));
  filter.addEventListener("input", draw);
  draw();
  const add = mayChange() ? make("a", { href: `#/${name}/`, className: "button" }, "Add") : null;
  show(make("h1", {}, name[0].toUpperCase() + name.slice(1)),
    make("div", { className: "sheet" }, make("div", { className: "row" }, filter, add), make("div", { className: "scroll" }, list)));
}

function showEntry(section, id) {
  const known = state.working[section][id];
  if (id !== "" && known === undefined) return show(notice("bad", `${section}.${id} does not exist.`));
  const form = entryForm({
    section, id, entry: known ?? {}, schema: state.schema, working: state.working, readOnly: !mayChange(),
    apply: (newId, entry) => applyEntry(section, id, newId, entry),
    remove: () => removeEntry(section, id),
  });
  show(make("h1", {}, id === "" ? `New entry in ${section}` : `${section} · ${id}`), form);
  form.querySelector("input, select")?.focus();
}

// Validates the working copy with the changed entry. Adopts it unless the entry itself is faulty; returns
// the faults of the entry.
async function applyEntry(section, oldId, newId, entry) {
  const next = structuredClone(state.working);
  if (oldId === "" && next[section][newId] !== undefined) {
    return [{ path: `${section}.${newId}`, message: "exists already", help: "choose another name" }];
  }
  next[section][newId] = entry;
  const answer = await ask("POST", "/v1/check", next);
  if (!answer.ok) return [{ path: "", message: answer.body.message, help: "" }];
  const path = `${section}.${newId}`;
  const own = answer.body.faults.filter((fault) => fault.path === path || fault.path.startsWith(`${path}.`));
  if (own.length > 0) return own;
  const others = answer.body.faults;
  state.working = others.length === 0 ? answer.body.plain : next;
  say(`${path} changed; review and send it`);
  location.hash = `#/${section}`;
  return [];
}

function removeEntry(section, id) {
  delete state.working[section][id];
  say(`${section}.${id} removed; review and send it`);
  location.hash = `#/${section}`;
}

export function drawDiff(text) {
  const kinds = { "+": "add", "-": "del", "@": "hunk" };
  const lines = text.split("\n").filter((line, index, all) => index < all.length - 1 || line !== "");
  return make("pre", { tabIndex: 0, "aria-label": "Difference" },
    ...lines.map((line) => make("span", { className: kinds[line[0]] ?? "same" }, line || " ")));
}

async function showReview() {
  const paths = changedPaths();
  if (paths.length === 0) return show(make("h1", {}, "Review"), notice("", "There are no changes."));
  const answer = await ask("POST", "/v1/check", state.working);
  if (!answer.ok) return show(notice("bad", answer.body.message));
  const check = answer.body;
  const heading = make("h1", {}, "Review");
  if (check.faults.length > 0) {
    const faults = check.faults.map((fault) => {
      const [section, id] = fault.path.split(".");
      return make("li", {}, make("a", { href: `#/${section}/${encodeURIComponent(id ?? "")}` }, fault.path), `: ${fault.message} (${fault.help})`);
    });
    return show(heading, notice("bad", "The document cannot be sent:", make("ul", {}, ...faults)));
  }
  const summary = make("input", { id: "summary", maxLength: 200, placeholder: "Why" });
  const send = make("button", { className: "main", type: "submit" }, "Send");
  const outcome = make("div", {});
  const form = make("form", { className: "sheet" },
    make("h2", {}, `Difference to version ${state.base}`),
    drawDiff(check.diff),
    make("details", {}, make("summary", {}, "Complete document"), make("pre", { tabIndex: 0 }, check.document)),
    make("div", { className: "field" }, make("label", { htmlFor: "summary" }, "What history shall say"), summary),
    send);
  form.addEventListener("submit", async (event) => {
    event.preventDefault();
    send.disabled = true;
    await sendWorking(summary.value, outcome);
    send.disabled = false;
  });
  show(heading, outcome, form);
}

async function sendWorking(summary, outcome) {
  const query = new URLSearchParams({ summary, wait_seconds: "0" });
  const answer = await ask("PUT", `/v1/configuration?${query}`, state.working, { "if-match": `"${state.base}"` });
  if (answer.ok) {
    await loadDocument();
    drawPending();
    main.querySelector("form")?.remove();
    return followProgress(answer.body.progress, outcome);
  }
  if (answer.body.race) return showRace(answer.body.race, outcome);
  const again = answer.body.retry_after_seconds ? ` Try again after ${answer.body.retry_after_seconds} s.` : "";
  outcome.replaceChildren(notice("bad", `${answer.body.message}.${again}`));
  main.focus();
}

function differenceList(differences) {
  const items = differences.map(({ path, kind, fields }) =>
    make("li", {}, `${kind} ${path}${fields.length ? `: ${fields.join(", ")}` : ""}`));
  return make("ul", {}, ...items);
}

function showRace(race, outcome) {
  const parts = [make("strong", {}, `Others came first: the document is now at version ${race.current}, your change was made from ${race.expected}.`),
    make("p", {}, "Changed by others:"), differenceList(race.theirs),
    make("p", {}, "Changed by you:"), differenceList(race.mine)];
  if (race.merged) {
    const merge = make("button", { type: "button", className: "main" }, "Merge both and review again");
    merge.addEventListener("click", async () => {
      const checked = await ask("POST", "/v1/check", race.merged);
      if (!checked.ok || checked.body.faults.length > 0) {
        const fault = checked.body.faults?.[0];
        return outcome.append(notice("bad", fault ? `${fault.path}: ${fault.message}` : checked.body.message));
      }
      await loadDocument();
      state.working = checked.body.plain;
      drawPending();
      showReview();
    });
    parts.push(merge);
  } else {
    parts.push(make("p", {}, `Changed by both: ${race.conflicts.join(", ")}. Discard yours and make the change again.`));
    const take = make("button", { type: "button" }, "Discard my changes");
    take.addEventListener("click", async () => { await loadDocument(); drawPending(); location.hash = "#/history"; });
    parts.push(take);
  }
  outcome.replaceChildren(notice("busy", ...parts));
  main.focus();
}

async function followProgress(progress, outcome) {
  const page = state.page;
  while (state.page === page) {
    const waiting = progress.outstanding.length ? ` Outstanding: ${progress.outstanding.join(", ")}.` : "";
    const text = progress.in_force ? `Version ${progress.version} is in force.` : `Version ${progress.version} is accepted, not yet in force.${waiting}`;
    outcome.replaceChildren(notice(progress.in_force ? "good" : "busy", text));
    if (progress.in_force) return;
    await new Promise((resolve) => setTimeout(resolve, PROGRESS_MILLIS));
    const answer = await ask("GET", `/v1/configuration/${progress.version}/progress`);
    if (answer.ok) progress = answer.body;
  }
}

async function showHistory() {
  const answer = await ask("GET", "/v1/history?limit=100");
  if (!answer.ok) return show(notice("bad", answer.body.message));
  const outcome = make("div", {});
  const rows = answer.body.map((entry) => {
    const restore = make("button", { type: "button" }, "Restore");
    restore.addEventListener("click", async () => {
      if (!confirm(`Restore the content of version ${entry.version} as a new version? Keys and operators are not restored.`)) return;
      const done = await ask("POST", `/v1/configuration/${entry.version}/restore?wait_seconds=0`, undefined, { "if-match": `"${answer.body[0].version}"` });
      await loadDocument();
      drawPending();
      if (done.ok) followProgress(done.body.progress, outcome);
      else outcome.replaceChildren(notice("bad", done.body.message));
    });
    const cell = (name, ...content) => make("td", { dataset: { name } }, ...content);
    return make("tr", {}, cell("Version", String(entry.version)), cell("When", new Date(entry.accepted_at * 1000).toISOString().slice(0, 16).replace("T", " ")),
      cell("Operator", entry.operator), cell("What", entry.summary),
      cell("", mayChange() && entry.version !== state.base ? restore : ""));
  });
  const head = ["Version", "When (UTC)", "Operator", "What", ""].map((name) => make("th", { scope: "col" }, name));
  show(make("h1", {}, "History"), outcome,
    make("div", { className: "sheet scroll" }, make("table", { className: "entries" }, make("thead", {}, make("tr", {}, ...head)), make("tbody", {}, ...rows))));
}

// Shows an issued key until the operator leaves the page.
function showSecret(answer, outcome) {
  outcome.replaceChildren(notice("good", make("p", {}, "The key is shown only once; only its digest is stored."),
    make("div", { className: "secret", tabIndex: 0 }, answer.key)));
  const progress = make("div", {});
  outcome.append(progress);
  followProgress(answer.change.progress, progress);
  outcome.querySelector(".secret").focus();
}

function fieldOf(label, input, hint) {
  input.id ||= `field-${label.replaceAll(" ", "-")}`;
  return make("div", { className: "field" }, make("label", { htmlFor: input.id }, label), input, hint ? make("p", { className: "hint" }, hint) : null);
}

// Sends a change of keys at once, independently of pending changes in the working copy.
async function changeKeys(path, body, outcome, after) {
  const answer = await ask("POST", path, body);
  if (!answer.ok) {
    const faults = (answer.body.faults ?? []).map((fault) => `${fault.path}: ${fault.message} (${fault.help})`);
    outcome.replaceChildren(notice("bad", [answer.body.message, ...faults].join(" · ")));
    return;
  }
  if (changedPaths().length === 0) await loadDocument();
  after(answer.body);
}

async function showKeys(selected) {
  const answer = await ask("GET", "/v1/keys");
  if (!answer.ok) return show(notice("bad", answer.body.message));
  const outcome = make("div", {});
  const rows = answer.body.map((key) => {
    const expired = key.expires_at && key.expires_at * 1000 < Date.now();
    const mark = key.withdrawn ? ["bad", "withdrawn"] : expired ? ["bad", "expired"] : key.expires_at ? ["busy", `until ${new Date(key.expires_at * 1000).toISOString().slice(0, 10)}`] : ["good", "valid"];
    const cell = (name, ...content) => make("td", { dataset: { name } }, ...content);
    const rotate = make("a", { href: `#/keys/${encodeURIComponent(key.id)}`, className: "button" }, "Rotate");
    const withdraw = make("button", { type: "button", className: "risky", "aria-label": `Withdraw ${key.id}` }, "Withdraw");
    withdraw.addEventListener("click", () => {
      if (!confirm(`Withdraw ${key.id}? Requests with it are refused within seconds, and responses in progress are cut off.`)) return;
      changeKeys(`/v1/keys/${encodeURIComponent(key.id)}/withdraw?wait_seconds=0`, {}, outcome, async (done) => {
        await showKeys();
        main.querySelector(".outcome")?.replaceChildren(notice("", ""));
        followProgress(done.progress, main.querySelector(".outcome"));
      });
    });
    const used = key.used_ago_seconds === null ? "not seen" : `${Math.round(key.used_ago_seconds)} s ago`;
    return make("tr", {}, cell("Key", key.id), cell("Team", key.team), cell("State", make("span", { className: `pill ${mark[0]}` }, mark[1])), cell("Last used", used),
      cell("", mayIssue() && !key.withdrawn ? make("div", { className: "row" }, rotate, withdraw) : ""));
  });
  outcome.className = "outcome";
  const form = mayIssue() ? keyForm(selected, outcome) : null;
  const head = ["Key", "Team", "State", "Last used", ""].map((name) => make("th", { scope: "col" }, name));
  show(make("h1", {}, "Keys"), outcome, form,
    make("div", { className: "sheet scroll" }, make("table", { className: "entries" }, make("thead", {}, make("tr", {}, ...head)), make("tbody", {}, ...rows))));
  if (selected) form?.querySelector("input")?.focus();
}

function keyForm(selected, outcome) {
  const id = make("input", { required: true, maxLength: 63, pattern: "[A-Za-z0-9_.:\\-]+" });
  const team = make("select", {}, ...Object.keys(state.working.teams).map((name) => make("option", {}, name)));
  const until = make("input", { type: "date" });
  const overlap = make("input", { type: "number", min: 0, max: 2592000, value: 3600 });
  const fields = selected
    ? [fieldOf("New key", id, "Public part; the team is that of the old key."), fieldOf("Overlap", overlap, "Seconds for which the old key stays valid.")]
    : [fieldOf("Key", id, "Public part: letters, digits, '-', '_', '.' or ':'."), fieldOf("Team", team), fieldOf("Expires", until, "If empty, the key does not expire.")];
  const form = make("form", { className: "sheet" }, make("h2", {}, selected ? `Rotate ${selected}` : "Issue a key"),
    make("div", { className: "fields" }, ...fields), make("button", { className: "main", type: "submit" }, selected ? "Rotate" : "Issue"));
  form.addEventListener("submit", (event) => {
    event.preventDefault();
    const expires = until.value ? Math.floor(new Date(until.value).getTime() / 1000) : null;
    const [path, body] = selected
      ? [`/v1/keys/${encodeURIComponent(selected)}/rotate?wait_seconds=0`, { new_id: id.value, overlap_seconds: Number(overlap.value) }]
      : ["/v1/keys?wait_seconds=0", { id: id.value, team: team.value, expires_at: expires }];
    changeKeys(path, body, outcome, async (done) => {
      await showKeys();
      showSecret(done, main.querySelector(".outcome"));
    });
  });
  return form;
}

function showOperators() {
  const outcome = make("div", { className: "outcome" });
  const cell = (name, ...content) => make("td", { dataset: { name } }, ...content);
  const rows = Object.entries(state.working.operators).map(([id, entry]) => {
    const remove = make("button", { type: "button", className: "risky", "aria-label": `Remove ${id}` }, "Remove");
    remove.addEventListener("click", () => { delete state.working.operators[id]; drawPending(); showOperators(); });
    return make("tr", {}, cell("Operator", id), cell("Role", entry.role), cell("", mayChange() ? remove : ""));
  });
  const id = make("input", { required: true, maxLength: 63, pattern: "[A-Za-z0-9_.:\\-]+" });
  const role = make("select", {}, ...["read", "keys", "all"].map((name) => make("option", {}, name)));
  const form = make("form", { className: "sheet" }, make("h2", {}, "Issue a key to an operator"),
    make("div", { className: "fields" }, fieldOf("Operator", id, "A new key replaces the operator's old one."), fieldOf("Role", role, "read: read only; keys: also issues and withdraws keys; all: changes everything.")),
    make("button", { className: "main", type: "submit" }, "Issue"));
  form.addEventListener("submit", (event) => {
    event.preventDefault();
    changeKeys(`/v1/operators/${encodeURIComponent(id.value)}/key?wait_seconds=0`, { role: role.value }, outcome, (done) => {
      showOperators();
      showSecret(done, main.querySelector(".outcome"));
    });
  });
  const head = ["Operator", "Role", ""].map((name) => make("th", { scope: "col" }, name));
  show(make("h1", {}, "Operators"), outcome, mayChange() ? form : null,
    make("div", { className: "sheet scroll" }, make("table", { className: "entries" }, make("thead", {}, make("tr", {}, ...head)), make("tbody", {}, ...rows))));
}

window.addEventListener("hashchange", route);
start();
