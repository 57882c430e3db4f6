const sectionPattern = /\{\{(?<mark>[#^])(?<name>[\w.]+)\}\}(?<inner>[\s\S]*?)\{\{\/\k<name>\}\}/gv;
const valuePattern = /\{\{(?<name>[\w.]+)(?<form>\|json)?\}\}/gv;

function valueOf(fields, name) {
	let value = fields;
	for (const part of name === '.' ? [] : name.split('.')) {
		value = value?.[part];
	}

	return value;
}

/** Fills in a settings template as the platform's page describes it. */
export function renderTemplate(template, fields) {
	const withoutSections = template.replaceAll(sectionPattern, (...parts) => {
		const {mark, name, inner} = parts.at(-1);
		const value = valueOf(fields, name);
		if (mark === '^') {
			return value === undefined || value === false ? inner : '';
		}

		if (Array.isArray(value)) {
			return value
				.map((entry, index) =>
					renderValues(inner.replaceAll('{{,}}', index < value.length - 1 ? ',' : ''), entry),
				)
				.join('');
		}

		return value === undefined || value === false ? '' : inner;
	});
	return renderValues(withoutSections, fields);
}

function renderValues(text, fields) {
	return text.replaceAll(valuePattern, (...parts) => {
		const {name, form} = parts.at(-1);
		const value = valueOf(fields, name);
		if (value === undefined) {
			return '';
		}

		return form === undefined && typeof value !== 'object' ? String(value) : JSON.stringify(value);
	});
}
