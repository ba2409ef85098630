import neostandard from 'neostandard'

export default neostandard({
  ts: true,
  ignores: ['dist/**', 'target/**', 'node_modules/**']
})
