// Lists of entries, and forms for single entries that are built from the schema of the document.

import { make } from "./console.js";

const TYPES = { teams: "TeamEntry", models: "ModelEntry", adapters: "AdapterEntry", services: "ServiceEntry", upstreams: "UpstreamEntry" };
// Fields that refer to an entry of another section.
const REFERENCES = { "adapters.model": "models" };
const COLUMNS = {
  teams: ["rate", "burst"],
  models: ["version", "memory", "slots", "max_slots"],
  adapters: ["model", "version", "memory"],
  services: ["calls", "cost", "body_bound"],
  upstreams: ["address", "domain", "role", "leaving"],
};

function shortText(value) {
  if (value === undefined || value === null) return "";
  if (typeof value !== "object") return String(value);
  if (value.runner) return `runner, ${value.runner.memory}${value.runner.honours_fencing ? "" : ", ignores fencing"}`;
  if (value.service) return `service ${value.service}`;
  return JSON.stringify(value);
}

export function sectionEntries(section, entries, filter, changed) {
  const wanted = filter.trim().toLowerCase();
  const shown = Object.entries(entries).filter(([id]) => id.toLowerCase().includes(wanted));
  const head = ["Name", ...COLUMNS[section].map((name) => name.replaceAll("_", " "))];
  const rows = shown.map(([id, entry]) => {
    const mark = changed.includes(`${section}.${id}`) ? make("span", { className: "pill busy" }, "changed") : "";
    const name = make("td", { dataset: { name: "" } }, make("a", { href: `#/${section}/${encodeURIComponent(id)}` }, id), " ", mark);
    const cells = COLUMNS[section].map((column) => make("td", { dataset: { name: column.replaceAll("_", " ") } }, shortText(entry[column])));
    return make("tr", {}, name, ...cells);
  });
  if (rows.length === 0) return make("p", { className: "hint" }, wanted ? "No matching entries." : "No entries yet.");
  return make("table", { className: "entries" }, make("thead", {}, make("tr", {}, ...head.map((name) => make("th", { scope: "col" }, name)))), make("tbody", {}, ...rows));
}

// Returns an input element and a function that reads its value; `undefined` omits the field.
function control(kind, value, context) {
  if (kind.choices) {
    const select = make("select", {}, ...kind.choices.map(([name, text]) => make("option", { value: name, selected: name === value }, text)));
    return { element: select, read: () => select.value };
  }
  if (kind.type === "boolean") {
    const select = make("select", {}, ...["false", "true"].map((name) => make("option", { value: name, selected: String(value ?? false) === name }, name === "true" ? "yes" : "no")));
    return { element: select, read: () => select.value === "true" };
  }
  const input = make("input", { value: value ?? "", placeholder: context.placeholder ?? "" });
  if (kind.type === "integer" || kind.type === "number") {
    input.inputMode = "decimal";
    return { element: input, read: () => (input.value.trim() === "" ? undefined : Number.isNaN(Number(input.value)) ? input.value : Number(input.value)) };
  }
  return { element: input, read: () => (input.value.trim() === "" ? undefined : input.value.trim()) };
}

function resolve(schema, property) {
  const reference = property.$ref ?? property.anyOf?.find((part) => part.$ref)?.$ref;
  if (!reference) return { ...property };
  const name = reference.split("/").pop();
  return { ...schema.$defs[name], ...property, name };
}

function kindOf(section, field, property, context) {
  const reference = REFERENCES[`${section}.${field}`];
  if (reference) return { choices: Object.keys(context.working[reference]).map((id) => [id, id]) };
  const choices = property.oneOf?.filter((part) => part.const).map((part) => [part.const, `${part.const}: ${part.description ?? ""}`]);
  if (choices?.length) return { choices };
  return { type: Array.isArray(property.type) ? property.type[0] : property.type };
}

let fieldCount = 0;

function fieldBlock(path, label, hint, element) {
  fieldCount += 1;
  element.id ||= `entry-field-${fieldCount}`;
  const hintId = `${element.id}-hint`;
  const faultId = `${element.id}-fault`;
  element.setAttribute("aria-describedby", `${hintId} ${faultId}`);
  return make("div", { className: "field", dataset: { path } },
    make("label", { htmlFor: element.id }, label.replaceAll("_", " ")), element,
    make("p", { className: "hint", id: hintId }, hint ?? ""),
    make("div", { className: "faults", id: faultId }));
}

// Returns the control for the `callers` field: every team, chosen teams or, for services, everyone.
function callersField(path, value, context, hint) {
  const kinds = [["all-teams", "every team"], ["teams", "chosen teams"]];
  if (context.section === "services") kinds.push(["open", "everyone, without a key"]);
  const chosen = typeof value === "object" ? "teams" : value ?? "all-teams";
  const radios = kinds.map(([name, text]) => {
    const radio = make("input", { type: "radio", name: "callers", value: name, checked: name === chosen });
    return [radio, make("label", { className: "choice" }, radio, text)];
  });
  const boxes = Object.keys(context.working.teams).map((team) => {
    const box = make("input", { type: "checkbox", value: team, checked: value?.teams?.includes(team) ?? false });
    return [box, make("label", { className: "choice" }, box, team)];
  });
  const teams = make("div", { hidden: chosen !== "teams" }, ...boxes.map(([, label]) => label));
  const picked = () => radios.find(([radio]) => radio.checked)[0].value;
  for (const [radio] of radios) radio.addEventListener("change", () => { teams.hidden = picked() !== "teams"; });
  const element = make("fieldset", { className: "field", dataset: { path } }, make("legend", {}, "callers"),
    ...radios.map(([, label]) => label), teams, make("p", { className: "hint" }, hint ?? ""), make("div", { className: "faults" }));
  const read = () => (picked() === "teams" ? { teams: boxes.filter(([box]) => box.checked).map(([box]) => box.value) } : picked());
  return { element, read };
}

// Returns the control for the `role` field: a runner with its properties, or an instance of a service.
function roleField(path, value, context) {
  const role = make("select", {}, make("option", { value: "runner", selected: !value?.service }, "runner: serves models"), make("option", { value: "service", selected: Boolean(value?.service) }, "service: serves calls of a plain service"));
  const runner = value?.runner ?? {};
  const controls = ordered(context.schema.$defs.RunnerEntry).map(([name, property]) => {
    const resolved = resolve(context.schema, property);
    const made = control({ type: resolved.type ?? "string" }, runner[name], { placeholder: name === "memory" ? "80GiB" : String(property.default ?? "") });
    return { name, ...made, block: fieldBlock(`${path}.runner.${name}`, name, property.description, made.element) };
  });
  const services = control({ choices: Object.keys(context.working.services).map((id) => [id, id]) }, value?.service, {});
  const runnerBlock = make("div", { className: "fields" }, ...controls.map(({ block }) => block));
  const serviceBlock = make("div", {}, fieldBlock(`${path}.service`, "service", "Plain service of this instance", services.element));
  const draw = () => { runnerBlock.hidden = role.value !== "runner"; serviceBlock.hidden = role.value === "runner"; };
  role.addEventListener("change", draw);
  draw();
  const element = make("fieldset", { className: "field", dataset: { path } }, make("legend", {}, "role"),
    fieldBlock(`${path}.kind`, "kind", "", role), runnerBlock, serviceBlock, make("div", { className: "faults" }));
  const read = () => {
    if (role.value === "service") return { service: services.read() };
    const pairs = controls.map(({ name, read: readOne }) => [name, readOne()]).filter(([, item]) => item !== undefined);
    return { runner: Object.fromEntries(pairs) };
  };
  return { element, read };
}

// Returns the fields of a type in display order: required fields, optional fields, and those that are
// groups of inputs.
function ordered(type) {
  const required = type.required ?? [];
  const names = [...required, ...Object.keys(type.properties).filter((name) => !required.includes(name))];
  const groups = ["role", "callers"];
  const sorted = [...names.filter((name) => !groups.includes(name)), ...names.filter((name) => groups.includes(name))];
  return sorted.map((name) => [name, type.properties[name]]);
}

export function entryForm(context) {
  const { section, id, entry, schema, apply, remove, readOnly } = context;
  const type = schema.$defs[TYPES[section]];
  const name = make("input", { value: id, required: true, disabled: id !== "" });
  const path = () => `${section}.${name.value.trim()}`;
  const nameBlock = fieldBlock("", "name", "1 to 63 letters, digits, '-', '_', '.' or ':'", name);
  const fields = ordered(type).map(([field, property]) => {
    const resolved = resolve(schema, property);
    const hint = property.description ?? resolved.description;
    if (field === "callers") return { field, ...callersField(field, entry[field], context, hint) };
    if (field === "role") return { field, ...roleField(field, entry[field], context) };
    const placeholder = property.default === undefined || property.default === null ? "" : String(property.default);
    const made = control(kindOf(section, field, resolved, context), entry[field], { placeholder });
    return { field, read: made.read, element: fieldBlock(field, field, hint, made.element) };
  });
  const general = make("div", {});
  const buttons = readOnly ? [] : [make("button", { className: "main", type: "submit" }, "Apply")];
  if (id !== "" && !readOnly) {
    const drop = make("button", { type: "button", className: "risky" }, "Remove");
    drop.addEventListener("click", remove);
    buttons.push(drop);
  }
  buttons.push(make("a", { href: `#/${section}`, className: "button" }, "Back"));
  const form = make("form", { className: "sheet", noValidate: true }, general,
    make("div", { className: "fields" }, nameBlock, ...fields.map(({ element }) => element)), make("div", { className: "row" }, ...buttons));
  if (readOnly) for (const input of form.querySelectorAll("input, select")) input.disabled = true;
  form.addEventListener("submit", async (event) => {
    event.preventDefault();
    const pairs = fields.map(({ field, read }) => [field, read()]).filter(([, value]) => value !== undefined);
    const faults = await apply(name.value.trim(), Object.fromEntries(pairs));
    showFaults(form, general, path(), faults);
  });
  return form;
}

// Shows each fault next to its field, or else next to the nearest enclosing field.
function showFaults(form, general, prefix, faults) {
  for (const place of form.querySelectorAll(".faults")) place.replaceChildren();
  for (const input of form.querySelectorAll("[aria-invalid]")) input.removeAttribute("aria-invalid");
  general.replaceChildren();
  for (const fault of faults) {
    let path = fault.path.startsWith(`${prefix}.`) ? fault.path.slice(prefix.length + 1) : "";
    let block = null;
    const find = () => [...form.querySelectorAll(".field")].find((element) => element.dataset.path === path && !element.closest("[hidden]"));
    while (!(block = find())) path = path.includes(".") ? path.slice(0, path.lastIndexOf(".")) : "";
    const text = `${fault.message}; ${fault.help}`;
    block.querySelector(":scope > .faults").append(make("p", { className: "fault" }, text));
    block.querySelector("input, select")?.setAttribute("aria-invalid", "true");
  }
  form.querySelector("[aria-invalid]")?.focus();
}
