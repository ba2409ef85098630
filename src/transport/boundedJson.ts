/**
 * Most levels of objects and arrays in a document from outside; messages of the deployment have up to ten. JSON.stringify
 * and structuredClone overflow the stack at some thousand levels, and parsing a million takes a second.
 */
const maximumLevels = 64

const quote = 0x22
const backslash = 0x5c
const openBracket = 0x5b
const closeBracket = 0x5d
const openBrace = 0x7b
const closeBrace = 0x7d

/** Parses JSON from outside this process; throws a SyntaxError for a text that is not JSON or is nested too deeply. */
export function parseBoundedJson (text: string): unknown {
  if (isNestedTooDeeply(text)) throw new SyntaxError(`expected at most ${maximumLevels} levels of nesting`)
  return JSON.parse(text)
}

/** Counts the brackets outside strings; each message of a stream passes here, so that it is one loop without calls. */
function isNestedTooDeeply (text: string): boolean {
  let levels = 0
  let isInString = false
  for (let at = 0; at < text.length; at += 1) {
    const code = text.charCodeAt(at)
    if (isInString) {
      if (code === backslash) at += 1
      else if (code === quote) isInString = false
    } else if (code === quote) {
      isInString = true
    } else if (code === openBracket || code === openBrace) {
      levels += 1
      if (levels > maximumLevels) return true
    } else if (code === closeBracket || code === closeBrace) {
      levels -= 1
    }
  }
  return false
}
