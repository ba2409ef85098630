/** Fills in a settings template as DEPLOY.md describes it, as far as `deploy/node.toml.template` uses it. */
export function fillTemplate (template, values) {
  const withSections = template.replace(/\{\{([#^])([\w.]+)\}\}([\s\S]*?)\{\{\/\2\}\}/g, (_all, kind, path, body) => {
    const value = read(values, path)
    const isPresent = value !== undefined && value !== null && value !== false
    if (kind === '^') return isPresent ? '' : fillTemplate(body, values)
    if (!isPresent) return ''
    if (typeof value !== 'object') return fillTemplate(body, values)
    return Object.entries(value).map(([key, entry]) => fillTemplate(body.replaceAll('{{@}}', key).replaceAll('{{.}}', String(entry)), values)).join('')
  })
  return withSections.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_all, path, asJson) => {
    const value = read(values, path)
    if (asJson !== undefined) return JSON.stringify(value ?? null)
    if (value === undefined || value === null) return ''
    if (Array.isArray(value)) return value.join(',')
    return typeof value === 'object' ? JSON.stringify(value) : String(value)
  })
}

function read (values, path) {
  return path.split('.').reduce((value, key) => value?.[key], values)
}
