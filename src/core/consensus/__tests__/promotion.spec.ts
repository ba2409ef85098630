import { expect } from 'chai'
import { canVoteAgain } from '../promotion'
import { PromotionModel } from './promotionModel'

const three = { members: 3, maximumLearners: 1, maximumWipes: 1, maximumTerm: 2, maximumEntries: 2 }
const five = { members: 5, maximumLearners: 2, maximumWipes: 3, maximumTerm: 3, maximumEntries: 3 }
/** Explored without a bound by hand. */
const fewestStates = 60_000
const maximumStates = Number(process.env.MODEL_STATES ?? fewestStates)
const walks = Number(process.env.MODEL_WALKS ?? 3000)

function createRandom (seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0
    return state / 2 ** 32
  }
}

describe('the promotion of members that lost their folder, in a model of all histories', () => {
  it('neither gives a term two leaders nor loses a committed entry in a group of three', () => {
    const { states, violation } = new PromotionModel({ ...three, maximumStates }).explore()
    expect(violation).to.equal(undefined)
    expect(states).to.be.at.least(Math.min(fewestStates, maximumStates))
  })

  it('neither gives a term two leaders nor loses a committed entry in random histories of a group of five', () => {
    const seed = Number(process.env.FIRST_SEED ?? 53)
    expect(new PromotionModel(five).sample(walks, 60, createRandom(seed)).violation).to.equal(undefined)
  })

  it('loses a committed entry if a learner votes before the other voters have followed the leader', () => {
    const withoutVoters: typeof canVoteAgain = (learner, _others, leader) => canVoteAgain(learner, [], leader)
    expect(new PromotionModel({ ...three, rule: withoutVoters, maximumStates: 400_000 }).explore().violation).to.include('lacks a committed entry')
  })

  it('loses a committed entry if answers that were given before the loss count', () => {
    expect(new PromotionModel({ ...three, believesLateReplies: true, maximumStates: 400_000 }).explore().violation).to.include('lacks a committed entry')
  })
})
